package tansypass.balancer;

/**
 * Departure from ServiceQ, slow start (rule 4): a server that is warming up gets a share of the requests by its present
 * capacity, relative to the rate of responses of all servers.
 */
final class SlowStart {
    /** Part of the settings' overload window for which a budget may be saved up. */
    private static final double MAX_SAVED_WINDOW = 0.25;

    /** How long the sum of present capacities is kept: a server warms up in seconds. */
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

    /** Whether the budget of a server, as last refilled, allows a request; always if it is not warming up. */
    boolean isWithinBudget(Server server, long nowUs) {
        return !isWarmingUp(server, nowUs) || server.slowStart.requests() >= 1;
    }

    void recordSend(Server server, long nowUs) {
        if (isWarmingUp(server, nowUs)) {
            refill(server, nowUs);
            server.slowStart.takeOne();
        }
    }

    /** Brings the budget of a server that is warming up to the present. */
    void refillBudget(Server server, long nowUs) {
        if (isWarmingUp(server, nowUs)) {
            refill(server, nowUs);
        }
    }

    /** Adds half of the permitted multiple of the server's share for each gap between responses. */
    private void refill(Server server, long nowUs) {
        double unitGapUs = responses.capacityGapUs(presentCapacity(nowUs), nowUs);
        double multiple = Math.max(1, settings.overloadMultiple() / 2);
        double gapUs = unitGapUs / (presentCapacity(server, nowUs) * multiple);
        double capacity = 1 + MAX_SAVED_WINDOW * settings.overloadWindowUs() / gapUs;
        server.slowStart.refill(gapUs, capacity, nowUs);
    }

    /** Present capacity of all ready servers, in the unit of the list's weights. */
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
                * (settings.slowStartCapacity() + (1 - settings.slowStartCapacity()) * warmth(server, nowUs));
    }

    /** How far the server has warmed up, from 0 to 1. */
    private double warmth(Server server, long nowUs) {
        if (!isWarmingUp(server, nowUs)) {
            return 1;
        }
        return Math.max(0, nowUs - server.startedAtUs()) / (double) settings.slowStartUs();
    }
}
