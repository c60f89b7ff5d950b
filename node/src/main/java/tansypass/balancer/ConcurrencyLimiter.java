package tansypass.balancer;

/**
 * Departure from ServiceQ, concurrency limits: each server has one, which grows with fast responses and is cut by slow
 * ones; their sum bounds this node.
 */
final class ConcurrencyLimiter {
    /** Responses slower than this share of the latency objective are a sign of congestion. */
    private static final double CONGESTED_OBJECTIVE_SHARE = 0.35;

    /** So are responses that take this many times the minimum latency of their class. */
    static final double CONGESTED_LATENCY_MULTIPLE = 3;

    /** Growth of a server's limit over all nodes with each fast response. */
    private static final double INCREASE = 0.15;

    /** Share of a limit that a slow response cuts. */
    private static final double DECREASE = 0.1;

    /** Share of a limit that a timeout cuts. */
    private static final double TIMEOUT_DECREASE = 0.3;

    /** Exponent of the number of nodes in growth and cut of the limits: at 0 a node of many learns too slowly. */
    private static final double NODE_COUNT_EXPONENT = 0.25;

    /** Square roots of the total limit, which is a mean, that are allowed on top of it. */
    private static final double BURST_ROOTS = 2.5;

    /** Part of the burst that each response of a new node allows. */
    private static final double BURST_PER_RESPONSE = 1.0 / 16;

    private final ClusterSize clusterSize;
    private final EndpointTable servers;
    private final ResponseStatistics responses;
    private final SlowStart slowStart;
    private final ClientThrottle throttle;
    private final double increase;
    private final double decrease;

    ConcurrencyLimiter(
            BalancerSettings settings,
            ClusterSize clusterSize,
            EndpointTable servers,
            ResponseStatistics responses,
            SlowStart slowStart,
            ClientThrottle throttle) {
        this.clusterSize = clusterSize;
        this.servers = servers;
        this.responses = responses;
        this.slowStart = slowStart;
        this.throttle = throttle;
        // One factor for both keeps the balance between them over all nodes, whatever their number.
        double nodeFactor = Math.pow(settings.nodes(), NODE_COUNT_EXPONENT);
        increase = INCREASE / nodeFactor;
        decrease = 1 - Math.pow(1 - DECREASE, nodeFactor);
    }

    /** Adjusts a server's limit to a successful response. */
    void recordResponse(PendingRequest pending, Server server, long sentAtUs, long latencyUs, long nowUs) {
        double before = server.limit.value();
        double congestedUs = Math.min(
                CONGESTED_OBJECTIVE_SHARE * pending.latencyObjectiveUs(),
                CONGESTED_LATENCY_MULTIPLE * responses.minLatencyUs(pending));
        if (latencyUs > congestedUs) {
            decrease(server, decrease, sentAtUs, nowUs);
        } else if (server.limit.wasReachedSince(sentAtUs) && mayIncrease(server, nowUs)) {
            server.limit.increase(increase);
        }
        servers.addToTotalLimit(server, server.limit.value() - before);
    }

    /** Cuts a server's limit because an attempt timed out. */
    void recordTimeout(Server server, long sentAtUs, long nowUs) {
        double before = server.limit.value();
        decrease(server, TIMEOUT_DECREASE, sentAtUs, nowUs);
        servers.addToTotalLimit(server, server.limit.value() - before);
    }

    /** A server that is warming up is fast with few requests: its limit does not exceed the mean of the others'. */
    private boolean mayIncrease(Server server, long nowUs) {
        return !slowStart.isWarmingUp(server, nowUs)
                || server.limit.value() * servers.ready().length < servers.totalLimit();
    }

    private void decrease(Server server, double part, long sentAtUs, long nowUs) {
        server.limit.decrease(part, 1.0 / clusterSize.nodes(), sentAtUs, nowUs);
    }

    /** Whether a further attempt at the server would exceed its limit or the total one. */
    boolean isLimitReached(Server server) {
        return server.limit.isReached(server.inFlight()) || isTotalLimitReached();
    }

    /** Records that a request was not sent because a limit was reached: only then may the server's limit grow. */
    void recordLimitReached(Server server, long nowUs) {
        server.limit.recordReached(nowUs);
    }

    /** Scales all limits: this node's share of the servers has changed. */
    void scaleLimits(double factor) {
        for (Server server : servers.tracked()) {
            server.limit.scale(factor);
        }
        servers.recountInUse();
    }

    /** A burst is allowed gradually with a new node's first responses, and less the fewer responses are in time. */
    private boolean isTotalLimitReached() {
        int inFlight = servers.inFlight();
        if (inFlight == 0) {
            return false;
        }
        double burstShare =
                Math.min(1, BURST_PER_RESPONSE * responses.count()) * Math.max(0, 2 * throttle.successRatio() - 1);
        double burst = BURST_ROOTS * burstShare * Math.sqrt(servers.totalLimit());
        return inFlight + 1 > servers.totalLimit() + burst;
    }
}
