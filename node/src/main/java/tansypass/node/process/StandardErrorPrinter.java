package tansypass.node.process;

/** Prints messages to the operator, independently of the log's configuration. Thread-safe. */
final class StandardErrorPrinter {
    private StandardErrorPrinter() {}

    /** Prints a message on one line, with each line break replaced by a space. */
    static void print(String message) {
        System.err.println("tansypass: " + message.replaceAll("\\s*\\R\\s*", " "));
    }
}
