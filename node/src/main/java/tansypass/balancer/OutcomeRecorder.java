package tansypass.balancer;

/** Records the outcomes of attempts: what each says about its server, and about all servers. */
final class OutcomeRecorder {
    /** A response within this multiple of its class's minimum latency is slow by its work, and counts as in time. */
    private static final double MAX_BEST_LATENCY_MULTIPLE = 1.5;

    private final EndpointTable servers;
    private final ErrorWeights weights;
    private final OutlierEjection ejection;
    private final RelativeLatencies latencies;
    private final SlowStart slowStart;
    private final ConcurrencyLimiter limiter;
    private final ClientThrottle throttle;
    private final ResponseStatistics responses;
    private final ConnectionTracker connections;

    OutcomeRecorder(
            EndpointTable servers,
            ErrorWeights weights,
            OutlierEjection ejection,
            RelativeLatencies latencies,
            SlowStart slowStart,
            ConcurrencyLimiter limiter,
            ClientThrottle throttle,
            ResponseStatistics responses,
            ConnectionTracker connections) {
        this.servers = servers;
        this.weights = weights;
        this.ejection = ejection;
        this.latencies = latencies;
        this.slowStart = slowStart;
        this.limiter = limiter;
        this.throttle = throttle;
        this.responses = responses;
        this.connections = connections;
    }

    /** Records the outcome of an attempt, or the start of a long response as a success. */
    void recordOutcome(PendingRequest pending, Attempt attempt, AttemptResult result, long latencyUs, long nowUs) {
        Server server = attempt.server();
        long sentAtUs = attempt.sentAtUs();
        if (!pending.isReceivingBody()) {
            servers.addInFlight(server, -1);
        }
        switch (result) {
            case OK -> recordSuccess(pending, server, sentAtUs, latencyUs, nowUs);
            case TIMEOUT -> recordTimeout(pending, server, sentAtUs, latencyUs, nowUs);
            case OVERLOADED -> recordOverload(server);
            case ERROR -> {
                server.recordResponse(nowUs);
                recordFault(server, nowUs);
            }
            case CONNECT_FAILED, RESET -> recordFault(server, nowUs);
            default -> {
                // Cancelled or not sent: nothing is learned of the server.
            }
        }
    }

    /** A long response that was being relayed has ended; its start was recorded as the attempt's outcome. */
    void recordRelayEnd(Server server, AttemptResult result, long nowUs) {
        if (result == AttemptResult.RESET || result == AttemptResult.TIMEOUT) {
            ejection.recordFailure(server, nowUs);
        }
    }

    /** A complete response leaves its connection open. */
    void recordConnection(Server server, AttemptResult result, long nowUs) {
        if (result == AttemptResult.OK || result == AttemptResult.ERROR || result == AttemptResult.OVERLOADED) {
            connections.recordReusable(server, nowUs);
        }
    }

    private void recordSuccess(PendingRequest pending, Server server, long sentAtUs, long latencyUs, long nowUs) {
        server.failureRate.add(0);
        ejection.recordSuccess(server, nowUs);
        server.recordResponse(nowUs);
        latencies.recordResponse(pending, server, latencyUs, nowUs);
        throttle.recordOutcome(responseValue(pending, latencyUs, nowUs));
        responses.recordLateness(nowUs > pending.objectiveAtUs());
        responses.recordResponse(pending, latencyUs, slowStart.presentCapacity(nowUs), nowUs);
        limiter.recordResponse(pending, server, sentAtUs, latencyUs, nowUs);
    }

    private double responseValue(PendingRequest pending, long latencyUs, long nowUs) {
        boolean slowByItsWork = latencyUs < MAX_BEST_LATENCY_MULTIPLE * responses.minLatencyUs(pending);
        boolean inTime = nowUs <= pending.objectiveAtUs() || slowByItsWork;
        return inTime ? 1 : pending.requestClass().residualWeight();
    }

    private void recordTimeout(PendingRequest pending, Server server, long sentAtUs, long latencyUs, long nowUs) {
        if (server.hasRespondedSince(sentAtUs)) {
            // The server works, but is overloaded: the limit is cut, and the server is not ejected.
            weights.addError(server);
        } else {
            ejection.recordFailure(server, nowUs);
        }
        latencies.recordResponse(pending, server, latencyUs, nowUs);
        throttle.recordOutcome(0);
        responses.recordLateness(true);
        limiter.recordTimeout(server, sentAtUs, nowUs);
    }

    private void recordOverload(Server server) {
        weights.addError(server);
        responses.recordLateness(true);
    }

    private void recordFault(Server server, long nowUs) {
        ejection.recordFailure(server, nowUs);
        server.failureRate.add(1);
        latencies.record(server, RelativeLatencies.FAILURE_LATENCY, nowUs);
        responses.recordLateness(true);
    }
}
