package tansypass.node.logging;

/**
 * The events that a node logs. A line is the event in words, then its fields as {@code key=value}, numbers without
 * grouping. Values are not quoted: one that may contain spaces is the last. Each event is listed with its meaning in
 * {@code docs/operations.md}. None occurs for each request, so that lines are formatted whatever the level is.
 */
public enum LogEvent {
    /** The node is about to listen on the clients' address. */
    WARM_UP_COMPLETE("warm-up complete known_servers={}"),
    /** The changed configuration is in effect. */
    CONFIGURATION_RELOADED("configuration reloaded discovery={}"),
    /** The watch on the endpoint list could not be opened or has ended. */
    DISCOVERY_WATCH_FAILED("discovery watch failed reason={}"),
    /** Discovery has listed a server more than once, with different values. */
    CONFLICTING_ENDPOINTS("conflicting entries in endpoint list, last one wins: revision={} server={}"),
    /** No server of the endpoint list accepts requests. */
    NO_SERVER_READY("no server ready listed={}"),
    /** The decision module has ejected a server that failed too often. */
    SERVER_EJECTED("server ejected server={} failures={}"),
    /** An ejected server has succeeded again. */
    SERVER_RESTORED("server restored server={}"),
    /** A request had no response at its client's deadline. */
    REQUEST_DEADLINE_EXCEEDED("request deadline exceeded without a response request={}"),
    /** The decision module has thrown an exception. */
    BALANCER_CALL_FAILED("balancer call failed"),
    /** The decision module has sent an attempt of a request that is not in flight. */
    UNKNOWN_REQUEST_SENT("balancer sent an unknown request request={} server={}"),
    /** A client's connection has failed by a fault of the node. */
    CLIENT_CONNECTION_FAILED("client connection failed client={}");

    private static final String VALUE = "{}";

    private final String format;

    LogEvent(String format) {
        this.format = format;
    }

    /**
     * Returns the line of an occurrence.
     *
     * @param values one for each field, in their order
     */
    public String line(Object... values) {
        StringBuilder line = new StringBuilder();
        int start = 0;
        for (Object value : values) {
            int end = format.indexOf(VALUE, start);
            line.append(format, start, end).append(value);
            start = end + VALUE.length();
        }
        return line.append(format, start, format.length()).toString();
    }

    /** Returns the line with empty values, which identifies the event in documents. */
    public String template() {
        return format.replace(VALUE, "");
    }
}
