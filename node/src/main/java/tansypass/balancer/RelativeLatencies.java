package tansypass.balancer;

/** Recent latencies of the servers, as multiples of the mean latency of a request's class. */
final class RelativeLatencies {
    /** Share of a new value in a server's relative latency and failure rate. */
    static final double GAIN = 0.3;

    /** A relative latency decays to 1/e in so many times the time in which this node uses each server once. */
    private static final double DECAY_ROUNDS = 12;

    /** Relative latency that a failure counts as, and a slow probe at most. */
    static final double FAILURE_LATENCY = 5;

    /** What opening a connection adds to a relative latency: up to three round trips and the server's work. */
    private static final double HANDSHAKE_LATENCY = 0.2;

    /** Relative latencies that differ by less count as equal, so that a slow server is tried again in time. */
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

    /** The expected latency of the first server less that of the second one, opening a connection included. */
    double difference(Server first, Server second, long nowUs) {
        return current(first, nowUs) + handshake(first, nowUs) - current(second, nowUs) - handshake(second, nowUs);
    }

    /** Whether a difference is too small to tell two servers apart. */
    static boolean isNegligible(double difference) {
        return Math.abs(difference) < TOLERANCE;
    }

    /** Records the latency of a successful probe. */
    void recordProbe(Server server, long latencyUs, long nowUs) {
        probeLatencyUs.add((double) latencyUs);
        record(server, Math.min(FAILURE_LATENCY, latencyUs / probeLatencyUs.value()), nowUs);
    }

    /** Records the latency of an attempt, if the usual one of its class is known. */
    void recordResponse(PendingRequest pending, Server server, long latencyUs, long nowUs) {
        double usualUs = responses.meanLatencyUs(pending);
        if (usualUs > 0) {
            record(server, latencyUs / usualUs, nowUs);
        }
    }

    /** Records a relative latency. */
    void record(Server server, double relativeLatency, long nowUs) {
        server.relativeLatency.add(relativeLatency, nowUs, DECAY_ROUNDS * roundIntervalUs());
    }

    private double current(Server server, long nowUs) {
        return server.relativeLatency.value(nowUs, DECAY_ROUNDS * roundIntervalUs());
    }

    /** The cost of opening a connection, shared by the requests that it will carry before it is idle for too long. */
    private double handshake(Server server, long nowUs) {
        double cost = HANDSHAKE_LATENCY * Math.min(1, roundIntervalUs() / (settings.idleTimeoutUs() + 1));
        if (cost < TOLERANCE || connections.hasIdle(server, nowUs)) {
            return 0;
        }
        return cost;
    }

    /** The time in which this node uses each server once. */
    private double roundIntervalUs() {
        return responses.meanGapUs() * Math.max(1, servers.ready().length);
    }
}
