package tansypass.balancer;

/** Decides whether a request may be sent to a server now, by all rules and limits. */
final class ServerAdmission {
    private final SlowStart slowStart;
    private final ConcurrencyLimiter limiter;
    private final ClientThrottle throttle;
    private final RetryRules rules;

    ServerAdmission(SlowStart slowStart, ConcurrencyLimiter limiter, ClientThrottle throttle, RetryRules rules) {
        this.slowStart = slowStart;
        this.limiter = limiter;
        this.throttle = throttle;
        this.rules = rules;
    }

    /**
     * Returns whether a request may be sent to a server. If a limit has been reached, this is recorded at the server;
     * if the server is warming up, its slow-start budget is refilled.
     */
    boolean tryAdmit(PendingRequest pending, Server server, long nowUs) {
        if (server.ejection.isEjected() || throttle.isThrottling()) {
            return false;
        }
        if (limiter.isLimitReached(server)) {
            limiter.recordLimitReached(server, nowUs);
            return false;
        }
        return tryAdmitIgnoringLimits(pending, server, nowUs);
    }

    /** Does the same as {@link #tryAdmit} but ignores ejection and limits: for requests to ejected servers. */
    boolean tryAdmitIgnoringLimits(PendingRequest pending, Server server, long nowUs) {
        if (!server.isReady()) {
            return false;
        }
        slowStart.refillBudget(server, nowUs);
        return slowStart.isWithinBudget(server, nowUs) && rules.isInDeduplicationScope(pending, server);
    }
}
