package tansypass.balancer;

/** Slow start (rule 4): a server that is warming up gets its part, by present capacity, of what is answered. */
final class SlowStart {
    private static final double MAX_SAVED_WINDOW = 0.25;
    private static final long CAPACITY_TTL_US = 100_000;

    private final BalancerContext context;
    private double totalCapacity;
    private long totalCapacityAt;

    SlowStart(BalancerContext context) {
        this.context = context;
    }

    void onEndpointUpdate() {
        totalCapacityAt = 0;
    }

    boolean isWarmingUp(Server server) {
        return server.startedAt > 0 && context.now < server.startedAt + context.settings.slowStartUs();
    }

    boolean maySend(Server server) {
        return !isWarmingUp(server) || refillBudget(server) >= 1;
    }

    void recordSend(Server server) {
        if (isWarmingUp(server)) {
            server.slowStartBudget = refillBudget(server) - 1;
        }
    }

    /** Half of the rule's multiple of the part is added in each gap between answers. */
    private double refillBudget(Server server) {
        BalancerSettings settings = context.settings;
        AnswerStatistics answers = context.answers;
        double waitedUs = AnswerStatistics.MEAN_GAIN * (context.now - answers.lastAnswerAt);
        double unitUs = answers.gapUs.count() == 0
                ? AnswerStatistics.INITIAL_GAP_US * presentCapacity()
                : Math.max(answers.capacityGapUs.value(), waitedUs * presentCapacity());
        double gapUs = unitUs / (presentCapacity(server) * Math.max(1, settings.overloadMultiple() / 2));
        double capacity = 1 + MAX_SAVED_WINDOW * settings.overloadWindowUs() / gapUs;
        double refilled = server.slowStartBudget + (context.now - server.slowStartAt) / gapUs;
        server.slowStartBudget = Math.min(capacity, refilled);
        server.slowStartAt = context.now;
        return server.slowStartBudget;
    }

    /** What all ready servers can do at present, in the unit of the list's weights. */
    double presentCapacity() {
        if (context.now >= totalCapacityAt + CAPACITY_TTL_US) {
            totalCapacityAt = context.now;
            totalCapacity = 0;
            for (Server server : context.servers.ready) {
                totalCapacity += presentCapacity(server);
            }
        }
        return totalCapacity;
    }

    private double presentCapacity(Server server) {
        BalancerSettings settings = context.settings;
        double warmth =
                isWarmingUp(server) ? Math.max(0, context.now - server.startedAt) / (double) settings.slowStartUs() : 1;
        return server.listedWeight * (settings.slowStartCapacity() + (1 - settings.slowStartCapacity()) * warmth);
    }
}
