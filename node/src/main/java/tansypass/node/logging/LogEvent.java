package tansypass.node.logging;

/**
 * The events that a node logs. A log line states the event in words, followed by its fields as {@code key=value}.
 * Numbers are written without digit grouping. Values are not quoted, so a value that may contain spaces must be the
 * last one. Each event is listed with its meaning in {@code docs/operations.md}. No event occurs for every request, so
 * lines are formatted even if their level is disabled.
 */
public enum LogEvent {
    /** The warm-up is complete, and the node is about to listen on the address for clients. */
    WARM_UP_COMPLETE("warm-up complete known_servers={}"),
    /** A changed configuration has taken effect. */
    CONFIGURATION_RELOADED("configuration reloaded discovery={}"),
    /** The watch on the endpoint list could not be opened or has ended. */
    DISCOVERY_WATCH_FAILED("discovery watch failed reason={}"),
    /** An endpoint list contains several entries with different values for one server. */
    CONFLICTING_ENDPOINTS("conflicting entries in endpoint list, last one wins: revision={} server={}"),
    /** No server of the endpoint list accepts requests. */
    NO_SERVER_READY("no server ready listed={}"),
    /** The event loop was busy for so long that clients and web servers waited for it. */
    EVENT_LOOP_BLOCKED("event loop blocked duration_ms={} direct_memory_bytes={} heap_used_bytes={}"),
    /** The node has broken off a response that it was relaying. At most one line in a second. */
    RESPONSE_ABORTED("response aborted request={} reason={} forwarded_bytes={}"),
    /** The load balancer has ejected a server that failed too often. */
    SERVER_EJECTED("server ejected server={} failures={}"),
    /** The load balancer has restored an ejected server that succeeds again. */
    SERVER_RESTORED("server restored server={}"),
    /** A client's deadline has passed without a response to the request. */
    REQUEST_DEADLINE_EXCEEDED("request deadline exceeded without a response request={}"),
    /** A call of the load balancer has thrown an exception. */
    BALANCER_CALL_FAILED("balancer call failed"),
    /** The load balancer has sent an attempt for a request that is not in flight. */
    UNKNOWN_REQUEST_SENT("balancer sent an unknown request request={} server={}"),
    /** A client's connection has failed because of a fault in the node. */
    CLIENT_CONNECTION_FAILED("client connection failed client={}");

    private static final String PLACEHOLDER = "{}";

    private final String format;

    LogEvent(String format) {
        this.format = format;
    }

    /**
     * Returns the log line for an occurrence of the event.
     *
     * @param values a value for each field, in the order of the fields
     */
    public String line(Object... values) {
        StringBuilder line = new StringBuilder();
        int start = 0;
        for (Object value : values) {
            int end = format.indexOf(PLACEHOLDER, start);
            line.append(format, start, end).append(value);
            start = end + PLACEHOLDER.length();
        }
        return line.append(format, start, format.length()).toString();
    }

    /** Returns the log line with empty values, which identifies the event in the documentation. */
    public String template() {
        return format.replace(PLACEHOLDER, "");
    }
}
