package tansypass.balancer;

/**
 * The actions that the load balancer asks of its node. They take effect in order, at the time of the event, and are
 * called on the thread of the event method. Times are microseconds of the caller's clock.
 */
public interface LoadBalancerActions extends ServerHealthListener {
    /**
     * Starts the next attempt of a request; attempts are numbered 0, 1, 2 and so on.
     *
     * @param untilUs when the attempt times out; {@link Long#MAX_VALUE} for never
     */
    void send(long requestId, String serverId, long untilUs);

    /** Sets when an attempt times out: for one that was sent without a deadline while its body was received. */
    void setAttemptDeadline(long requestId, int attempt, long untilUs);

    /** Cancels an attempt; it still gets its outcome. */
    void cancel(long requestId, int attempt);

    /**
     * Gives the final response: rejected; a retry by the client is harmless.
     *
     * @param retryAfterUs Retry-After, a length of time; 0 for none
     */
    void reject(long requestId, long retryAfterUs);

    /** Gives the final response: failed; the request may have been executed. */
    void fail(long requestId);

    /** Asks for {@link LoadBalancer#onTimer} at this time or soon after; replaces a timer that is pending. */
    void scheduleTimer(long atUs);

    /** Sends a health check to a server; {@link LoadBalancer#onProbe} has its result. */
    void probe(String serverId);

    /** Subscribes to changes of the endpoint list. */
    void subscribe();
}
