package tansypass.balancer;

/** Sends attempts, and counts them wherever attempts in flight are counted. */
final class AttemptSender {
    private final LoadBalancerActions actions;
    private final EndpointTable servers;
    private final RetryRules rules;
    private final ResponseStatistics responses;
    private final SlowStart slowStart;
    private final ClientThrottle throttle;
    private final ConnectionTracker connections;

    AttemptSender(
            LoadBalancerActions actions,
            EndpointTable servers,
            RetryRules rules,
            ResponseStatistics responses,
            SlowStart slowStart,
            ClientThrottle throttle,
            ConnectionTracker connections) {
        this.actions = actions;
        this.servers = servers;
        this.rules = rules;
        this.responses = responses;
        this.slowStart = slowStart;
        this.throttle = throttle;
        this.connections = connections;
    }

    /** Sends the next attempt of a request. */
    void send(PendingRequest pending, Server server, long nowUs) {
        pending.startAttempt(server, nowUs);
        throttle.recordSend();
        connections.recordSend(server);
        if (!pending.isReceivingBody()) {
            servers.addInFlight(server, 1);
        }
        responses.recordSend(nowUs);
        slowStart.recordSend(server, nowUs);
        actions.send(pending.id(), server.id(), rules.attemptDeadlineUs(pending));
    }

    /** The body of a request is complete: its attempt, if it has one in flight, begins to count from here. */
    void onBodyComplete(PendingRequest pending, long nowUs) {
        Attempt inFlight = pending.attemptInFlightOrNull();
        if (inFlight == null) {
            return;
        }
        inFlight.recordBodySent(nowUs);
        servers.addInFlight(inFlight.server(), 1);
        if (!pending.isCompleted()) {
            actions.setAttemptDeadline(pending.id(), inFlight.number(), rules.attemptDeadlineUs(pending));
        }
    }
}
