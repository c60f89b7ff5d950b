package tansypass.balancer;

/**
 * Adaptive concurrency limits. Each server has a limit, which fast responses raise and slow responses cut. The sum of
 * the limits bounds the attempts in flight of this node. This is a departure from ServiceQ.
 */
final class ConcurrencyLimiter {
    /** Responses that take longer than this share of the latency objective indicate congestion. */
    private static final double CONGESTED_OBJECTIVE_SHARE = 0.35;

    /** Responses that take longer than this multiple of their class's minimum latency indicate congestion. */
    static final double CONGESTED_LATENCY_MULTIPLE = 3;

    /** Amount by which a fast response raises a server's limit over all nodes. */
    private static final double LIMIT_INCREASE = 0.15;

    /** Share by which a slow response cuts a server's limit. */
    private static final double CONGESTED_CUT_SHARE = 0.1;

    /** Share by which a timeout cuts a server's limit. */
    private static final double TIMEOUT_CUT_SHARE = 0.3;

    /**
     * Raises and cuts of a limit scale by the number of nodes to the power of this exponent. At 0 a node of a large
     * cluster learns too slowly.
     */
    private static final double NODE_COUNT_EXPONENT = 0.25;

    /**
     * Burst allowed above the total limit, as a multiple of its square root: the limit is a mean, and the number of
     * attempts in flight varies around it.
     */
    private static final double BURST_SQRT_MULTIPLE = 2.5;

    /** Share of the burst that each of a new node's first responses allows. */
    private static final double BURST_PER_RESPONSE = 1.0 / 16;

    private final ClusterSize clusterSize;
    private final EndpointTable servers;
    private final ResponseStatistics responses;
    private final SlowStart slowStart;
    private final ClientThrottle throttle;
    private final double limitIncrease;
    private final double congestedCutShare;

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
        // Raises and cuts scale by the same factor: their ratio over all nodes does not depend on the number of nodes.
        double nodeFactor = Math.pow(settings.nodes(), NODE_COUNT_EXPONENT);
        limitIncrease = LIMIT_INCREASE / nodeFactor;
        congestedCutShare = 1 - Math.pow(1 - CONGESTED_CUT_SHARE, nodeFactor);
    }

    /** Adjusts a server's limit to a successful response. */
    void recordResponse(PendingRequest pending, Server server, long sentAtUs, long latencyUs, long nowUs) {
        double limitBefore = server.limit.value();
        double congestedUs = Math.min(
                CONGESTED_OBJECTIVE_SHARE * pending.latencyObjectiveUs(),
                CONGESTED_LATENCY_MULTIPLE * responses.minLatencyUs(pending));
        if (latencyUs > congestedUs) {
            cut(server, congestedCutShare, sentAtUs, nowUs);
        } else if (server.limit.wasReachedSince(sentAtUs) && canIncrease(server, nowUs)) {
            server.limit.increase(limitIncrease);
        }
        servers.addToTotalLimit(server, server.limit.value() - limitBefore);
    }

    /** Cuts a server's limit because an attempt timed out. */
    void recordTimeout(Server server, long sentAtUs, long nowUs) {
        double limitBefore = server.limit.value();
        cut(server, TIMEOUT_CUT_SHARE, sentAtUs, nowUs);
        servers.addToTotalLimit(server, server.limit.value() - limitBefore);
    }

    /**
     * Returns whether a server's limit can be raised. A server that is warming up responds fast because it has few
     * requests, and its limit is raised only while it is below the mean limit.
     */
    private boolean canIncrease(Server server, long nowUs) {
        return !slowStart.isWarmingUp(server, nowUs)
                || server.limit.value() * servers.ready().length < servers.totalLimit();
    }

    private void cut(Server server, double share, long sentAtUs, long nowUs) {
        server.limit.cut(share, 1.0 / clusterSize.nodes(), sentAtUs, nowUs);
    }

    /** Returns whether a further attempt at the server would exceed the server's limit or the total limit. */
    boolean isLimitReached(Server server) {
        return server.limit.isReached(server.inFlight()) || isTotalLimitReached();
    }

    /** Records that a request was not sent because of a limit. The server's limit is raised only after that. */
    void recordLimitReached(Server server, long nowUs) {
        server.limit.recordReached(nowUs);
    }

    /** Multiplies all limits by a factor because this node's share of the servers has changed. */
    void scaleLimits(double factor) {
        for (Server server : servers.tracked()) {
            server.limit.scale(factor);
        }
        servers.recountInUse();
    }

    /**
     * Returns whether a further attempt would exceed the total limit and the burst. The burst grows with a new node's
     * first responses, and shrinks to 0 as the success ratio falls to one half.
     */
    private boolean isTotalLimitReached() {
        int inFlight = servers.inFlight();
        if (inFlight == 0) {
            return false;
        }
        double burstShare =
                Math.min(1, BURST_PER_RESPONSE * responses.count()) * Math.max(0, 2 * throttle.successRatio() - 1);
        double burst = BURST_SQRT_MULTIPLE * burstShare * Math.sqrt(servers.totalLimit());
        return inFlight + 1 > servers.totalLimit() + burst;
    }
}
