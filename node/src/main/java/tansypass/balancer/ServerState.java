package tansypass.balancer;

/** The state of a server on the endpoint list. */
public enum ServerState {
    /** The server accepts requests. */
    READY,
    /** The server completes its requests in flight and accepts no new ones. */
    DRAINING,
    /** The server has been removed from the list. */
    GONE
}
