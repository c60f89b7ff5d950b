package tansypass.balancer;

/** Decides whether a request may be sent to a server now, under all rules and limits. */
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
     * Returns whether a request may be sent to a server. Records a limit that was reached, and refills the budget of a
     * server that is warming up.
     */
    boolean tryAdmit(PendingRequest pending, Server server, long nowUs) {
        if (server.ejection.isEjected() || throttle.isThrottling()) {
            return false;
        }
        if (limiter.isLimitReached(server)) {
            limiter.recordLimitReached(server, nowUs);
            return false;
        }
        return tryAdmitUnlimited(pending, server, nowUs);
    }

    /** As {@link #tryAdmit}, whatever the server's ejection and the limits: for servers that are ejected. */
    boolean tryAdmitUnlimited(PendingRequest pending, Server server, long nowUs) {
        if (!server.isReady()) {
            return false;
        }
        slowStart.refillBudget(server, nowUs);
        return slowStart.isWithinBudget(server, nowUs) && rules.isInScope(pending, server);
    }
}
