package tansypass.balancer;

/** Sends attempts, and reports each of them to the classes that count attempts. */
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

    /**
     * Handles the end of a request's body. An attempt in flight is counted and timed only from now on, since the server
     * begins to work on the complete request.
     */
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
