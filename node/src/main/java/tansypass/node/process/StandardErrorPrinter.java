package tansypass.node.process;

/** Messages to the operator that do not depend on the log being configured. Thread-safe. */
final class StandardErrorPrinter {
    private StandardErrorPrinter() {}

    /** Prints a message on one line, whatever line breaks it contains. */
    static void print(String message) {
        System.err.println("tansypass: " + message.replaceAll("\\s*\\R\\s*", " "));
    }
}
