package tansypass.balancer;

/** The servers' recent latencies, each as a multiple of the mean latency of the request's class. */
final class RelativeLatencies {
    /** Share of a new value in a server's relative latency and failure rate. */
    static final double GAIN = 0.3;

    /** Time in which a relative latency decays to 1/e, in rounds; in a round this node uses each server once. */
    private static final double DECAY_ROUNDS = 12;

    /** Relative latency that is recorded for a failure; also the largest one that is recorded for a slow probe. */
    static final double FAILURE_LATENCY = 5;

    /** Relative latency of opening a connection, which takes up to three round trips and work of the server. */
    private static final double HANDSHAKE_LATENCY = 0.2;

    /** Relative latencies that differ by less than this count as equal, so that a slow server is used again in time. */
    private static final double TOLERANCE = 0.05;

    private final BalancerSettings settings;
    private final EndpointTable servers;
    private final ResponseStatistics responses;
    private final ConnectionTracker connections;
    private final RunningMean probeLatencyUs = new RunningMean(ResponseStatistics.MEAN_GAIN, 0);

    RelativeLatencies(
            BalancerSettings settings,
            EndpointTable servers,
            ResponseStatistics responses,
            ConnectionTracker connections) {
        this.settings = settings;
        this.servers = servers;
        this.responses = responses;
        this.connections = connections;
    }

    /**
     * Returns the expected relative latency of the first server minus the second's, each with the cost of connecting.
     */
    double difference(Server first, Server second, long nowUs) {
        return currentLatency(first, nowUs)
                + connectCost(first, nowUs)
                - currentLatency(second, nowUs)
                - connectCost(second, nowUs);
    }

    /** Returns whether a latency difference is too small to prefer one of two servers. */
    static boolean isNegligible(double difference) {
        return Math.abs(difference) < TOLERANCE;
    }

    /** Records the latency of a successful probe. */
    void recordProbe(Server server, long latencyUs, long nowUs) {
        probeLatencyUs.add((double) latencyUs);
        record(server, Math.min(FAILURE_LATENCY, latencyUs / probeLatencyUs.value()), nowUs);
    }

    /** Records the latency of an attempt, unless the mean latency of its class is still unknown. */
    void recordResponse(PendingRequest pending, Server server, long latencyUs, long nowUs) {
        double meanUs = responses.meanLatencyUs(pending);
        if (meanUs > 0) {
            record(server, latencyUs / meanUs, nowUs);
        }
    }

    /** Records a relative latency. */
    void record(Server server, double relativeLatency, long nowUs) {
        server.relativeLatency.add(relativeLatency, nowUs, DECAY_ROUNDS * roundIntervalUs());
    }

    private double currentLatency(Server server, long nowUs) {
        return server.relativeLatency.value(nowUs, DECAY_ROUNDS * roundIntervalUs());
    }

    /**
     * Returns the relative latency of opening a connection, spread over the requests that reuse the connection before
     * it has been idle for too long.
     */
    private double connectCost(Server server, long nowUs) {
        double cost = HANDSHAKE_LATENCY * Math.min(1, roundIntervalUs() / (settings.idleTimeoutUs() + 1));
        if (cost < TOLERANCE || connections.hasIdle(server, nowUs)) {
            return 0;
        }
        return cost;
    }

    /** Returns the duration of a round, in which this node uses each server once. */
    private double roundIntervalUs() {
        return responses.meanIntervalUs() * Math.max(1, servers.ready().length);
    }
}
