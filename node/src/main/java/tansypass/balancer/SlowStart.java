package tansypass.balancer;

/**
 * Slow start (rule 4). A server that is warming up may get requests at a limited rate, which is the response rate of
 * all servers times the server's share of their present capacity, times a factor. This is a departure from ServiceQ.
 */
final class SlowStart {
    /** Largest budget that can be saved up, as a share of the settings' overload window. */
    private static final double MAX_SAVED_WINDOW_SHARE = 0.25;

    /** Time for which the sum of present capacities is cached: short compared to a warm-up, which takes seconds. */
    private static final long CAPACITY_TTL_US = 100_000;

    private final BalancerSettings settings;
    private final EndpointTable servers;
    private final ResponseStatistics responses;
    private double totalCapacity;
    private long totalCapacityAtUs;

    SlowStart(BalancerSettings settings, EndpointTable servers, ResponseStatistics responses) {
        this.settings = settings;
        this.servers = servers;
        this.responses = responses;
    }

    void onEndpointUpdate() {
        totalCapacityAtUs = 0;
    }

    boolean isWarmingUp(Server server, long nowUs) {
        return server.startedAtUs() > 0 && nowUs < server.startedAtUs() + settings.slowStartUs();
    }

    /** Returns whether a server's budget, as of its last refill, allows a request; true if it is not warming up. */
    boolean isWithinBudget(Server server, long nowUs) {
        return !isWarmingUp(server, nowUs) || server.slowStart.requests() >= 1;
    }

    void recordSend(Server server, long nowUs) {
        if (isWarmingUp(server, nowUs)) {
            refill(server, nowUs);
            server.slowStart.takeOne();
        }
    }

    /** Refills the budget of a server that is warming up. */
    void refillBudget(Server server, long nowUs) {
        if (isWarmingUp(server, nowUs)) {
            refill(server, nowUs);
        }
    }

    /**
     * Refills a server's budget for the time since the last refill. The rate is the server's share of the response rate
     * times half of the overload multiple, but not less than that share.
     */
    private void refill(Server server, long nowUs) {
        double unitIntervalUs = responses.unitCapacityIntervalUs(presentCapacity(nowUs), nowUs);
        double multiple = Math.max(1, settings.overloadMultiple() / 2);
        double intervalUs = unitIntervalUs / (presentCapacity(server, nowUs) * multiple);
        double capacity = 1 + MAX_SAVED_WINDOW_SHARE * settings.overloadWindowUs() / intervalUs;
        server.slowStart.refill(intervalUs, capacity, nowUs);
    }

    /** Returns the present capacity of all ready servers, in the unit of the endpoint list's weights. */
    double presentCapacity(long nowUs) {
        if (nowUs >= totalCapacityAtUs + CAPACITY_TTL_US) {
            totalCapacityAtUs = nowUs;
            totalCapacity = 0;
            for (Server server : servers.ready()) {
                totalCapacity += presentCapacity(server, nowUs);
            }
        }
        return totalCapacity;
    }

    private double presentCapacity(Server server, long nowUs) {
        return server.listedWeight()
                * (settings.slowStartCapacity() + (1 - settings.slowStartCapacity()) * warmUpProgress(server, nowUs));
    }

    /** Returns the share of its warm-up that the server has completed, from 0 to 1. */
    private double warmUpProgress(Server server, long nowUs) {
        if (!isWarmingUp(server, nowUs)) {
            return 1;
        }
        return Math.max(0, nowUs - server.startedAtUs()) / (double) settings.slowStartUs();
    }
}
