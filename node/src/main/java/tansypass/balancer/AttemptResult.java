package tansypass.balancer;

/** How an attempt or a probe ended. */
public enum AttemptResult {
    /** A response without an error. */
    OK(false),
    /** An error response; the request may have been executed. */
    ERROR(false),
    /** Rejected by the server before it was executed. */
    OVERLOADED(true),
    /** No response in time; the request may have been executed, or still be executed later. */
    TIMEOUT(false),
    /** No connection in time. */
    CONNECT_FAILED(true),
    /** The connection was reset; the request may have been executed. */
    RESET(false),
    /** Cancelled by the node; the request may have been executed. */
    CANCELLED(false),
    /** Not sent. */
    NOT_SENT(true);

    private final boolean knownNotExecuted;

    AttemptResult(boolean knownNotExecuted) {
        this.knownNotExecuted = knownNotExecuted;
    }

    /** Whether the server is known not to have executed the request, so that any request may be retried. */
    public boolean isKnownNotExecuted() {
        return knownNotExecuted;
    }
}
