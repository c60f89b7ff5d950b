package tansypass.balancer;

/** Passes the outcome of each attempt to the classes that keep the state of its server and the overall statistics. */
final class OutcomeRecorder {
    /**
     * A response within this multiple of its class's minimum latency counts as in time even if it misses its objective:
     * it is slow because of the request's work, not because of congestion.
     */
    private static final double MAX_UNCONGESTED_LATENCY_MULTIPLE = 1.5;

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
                // A cancelled or unsent attempt says nothing about the server.
            }
        }
    }

    /** Records the end of a long response that was relayed; its start was recorded as the attempt's outcome. */
    void recordRelayEnd(Server server, AttemptResult result, long nowUs) {
        if (result == AttemptResult.RESET || result == AttemptResult.TIMEOUT) {
            ejection.recordFailure(server, nowUs);
        }
    }

    /** Records whether the attempt's connection can be reused: a complete response leaves it open. */
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
        boolean uncongested = latencyUs < MAX_UNCONGESTED_LATENCY_MULTIPLE * responses.minLatencyUs(pending);
        boolean inTime = nowUs <= pending.objectiveAtUs() || uncongested;
        return inTime ? 1 : pending.requestClass().residualWeight();
    }

    private void recordTimeout(PendingRequest pending, Server server, long sentAtUs, long latencyUs, long nowUs) {
        if (server.hasRespondedSince(sentAtUs)) {
            // The server responds, but is overloaded: its limit is cut below, and it is not ejected.
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
