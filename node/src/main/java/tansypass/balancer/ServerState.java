package tansypass.balancer;

/** State of a server on the endpoint list. */
public enum ServerState {
    /** Accepts requests. */
    READY,
    /** Completes its requests in flight and accepts no more. */
    DRAINING,
    /** Removed from the list. */
    GONE
}
