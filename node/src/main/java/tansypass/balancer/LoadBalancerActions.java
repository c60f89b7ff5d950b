package tansypass.balancer;

/**
 * The actions that the load balancer requests from its node. They take effect in order, at the time of the event, and
 * are called on the thread of the event method. Times are microseconds of the caller's clock.
 */
public interface LoadBalancerActions extends ServerHealthListener {
    /**
     * Starts the next attempt of a request. The attempts of a request are numbered from 0.
     *
     * @param timeoutAtUs time at which the attempt times out; {@link Long#MAX_VALUE} for never
     */
    void send(long requestId, String serverId, long timeoutAtUs);

    /** Sets the time at which an attempt times out that was sent without one, while its body was being received. */
    void setAttemptDeadline(long requestId, int attempt, long timeoutAtUs);

    /** Cancels an attempt. Its outcome is still reported. */
    void cancel(long requestId, int attempt);

    /**
     * Rejects a request as its final response, which tells the client that a retry is safe.
     *
     * @param retryAfterUs Retry-After of the response, a duration; 0 for none
     */
    void reject(long requestId, long retryAfterUs);

    /** Fails a request as its final response. The request may have been executed. */
    void fail(long requestId);

    /** Schedules a call of {@link LoadBalancer#onTimer} at this time or soon after, and replaces a pending timer. */
    void scheduleTimer(long atUs);

    /** Sends a health check to a server. {@link LoadBalancer#onProbe} is called with the result. */
    void probe(String serverId);

    /** Subscribes to changes of the endpoint list. */
    void subscribe();
}
