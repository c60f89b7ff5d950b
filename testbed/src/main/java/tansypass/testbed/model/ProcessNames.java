package tansypass.testbed.model;

/** The names of nodes and servers, which consist of a kind and a number from 0, such as {@code node-0}. */
public final class ProcessNames {
    private ProcessNames() {}

    /** Returns the name of a node. */
    public static String node(int number) {
        return "node-" + number;
    }

    /** Returns the name of a server. */
    public static String server(int number) {
        return "server-" + number;
    }

    /**
     * Returns the number in the name of a node or server.
     *
     * @throws NumberFormatException if the name does not end in a number
     */
    public static int numberOf(String name) {
        return Integer.parseInt(name.substring(name.indexOf('-') + 1));
    }
}
