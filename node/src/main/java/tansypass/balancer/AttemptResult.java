package tansypass.balancer;

/** The result of an attempt or a probe. */
public enum AttemptResult {
    /** A response without an error. */
    OK(false),
    /** An error response; the request may have been executed. */
    ERROR(false),
    /** Rejected by the server, which has not executed the request. */
    OVERLOADED(true),
    /** No response in time; the request may have been executed, or may be executed later. */
    TIMEOUT(false),
    /** No connection was opened in time. */
    CONNECT_FAILED(true),
    /** The connection was reset; the request may have been executed. */
    RESET(false),
    /** Cancelled by the node; the request may have been executed. */
    CANCELLED(false),
    /** The node did not send the attempt. */
    NOT_SENT(true);

    private final boolean knownNotExecuted;

    AttemptResult(boolean knownNotExecuted) {
        this.knownNotExecuted = knownNotExecuted;
    }

    /** Returns whether the server has certainly not executed the request, in which case any request may be retried. */
    public boolean isKnownNotExecuted() {
        return knownNotExecuted;
    }
}
