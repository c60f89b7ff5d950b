package tansypass.balancer;

/** Concurrency limits and client-side throttling: how much servers may have in flight, and the node may send. */
final class ConcurrencyLimiter {
    private static final double CROWDED_OBJECTIVE_SHARE = 0.35;
    static final double CROWDED_LATENCY_MULTIPLE = 3;
    private static final double INCREASE = 0.15;
    private static final double DECREASE = 0.1;
    private static final double TIMEOUT_DECREASE = 0.3;
    private static final double NODE_COUNT_EXPONENT = 0.25;
    private static final double BURST_ROOTS = 2.5;
    private static final double SUCCESS_GAIN = 1.0 / 16;
    private static final double SENDS_PER_SUCCESS = 2;
    private static final double THROTTLE_THRESHOLD = 1 / SENDS_PER_SUCCESS;
    private static final double SENDS_PER_FIRST_TRY = 0.03;
    private static final double MAX_SEND_TOKENS = 3;

    private final BalancerContext context;
    private final double increase;
    private final double decrease;
    private final Ewma successRatio = new Ewma(SUCCESS_GAIN, 1);
    private double sendTokens;

    ConcurrencyLimiter(BalancerContext context) {
        this.context = context;
        // Both by the same factor: for all nodes together the balance between them stays.
        double nodeFactor = Math.pow(context.settings.nodes(), NODE_COUNT_EXPONENT);
        increase = INCREASE / nodeFactor;
        decrease = 1 - Math.pow(1 - DECREASE, nodeFactor);
    }

    void recordOutcome(PendingRequest pending, AttemptOutcome outcome) {
        int attempt = outcome.attempt();
        Server server = pending.servers[attempt];
        double before = server.concurrencyLimit;
        if (outcome.result() == AttemptResult.TIMEOUT) {
            decreaseLimit(pending, attempt, TIMEOUT_DECREASE);
        } else if (outcome.result() == AttemptResult.OK) {
            double crowdedUs = Math.min(
                    CROWDED_OBJECTIVE_SHARE * pending.latencyObjectiveUs,
                    CROWDED_LATENCY_MULTIPLE * context.answers.leastLatencyUs(pending));
            if (outcome.latencyUs() > crowdedUs) {
                decreaseLimit(pending, attempt, decrease);
            } else if (server.limitReachedAt >= pending.sentAt[attempt] && mayIncrease(server)) {
                server.concurrencyLimit += increase;
            }
        }
        if (server.isInUse()) {
            context.servers.totalLimit += server.concurrencyLimit - before;
        }
    }

    /** A server that is warming up, quick with the little it gets, must not pass the others' limits (i3a094a). */
    private boolean mayIncrease(Server server) {
        return !context.slowStart.isWarmingUp(server)
                || server.concurrencyLimit * context.servers.ready.length < context.servers.totalLimit;
    }

    /** One cut for all that was sent before the last one. */
    private void decreaseLimit(PendingRequest pending, int attempt, double part) {
        Server server = pending.servers[attempt];
        if (pending.sentAt[attempt] >= server.limitCutAt) {
            server.concurrencyLimit = Math.max(1.0 / context.nodes, server.concurrencyLimit * (1 - part));
            server.limitCutAt = context.now;
        }
    }

    boolean isCrowded(Server server) {
        if (successRatio.value() < THROTTLE_THRESHOLD && sendTokens < 1) {
            return true;
        }
        // A burst's room grows with the first answers and shrinks with health, none at half (i6d5d9b).
        double well =
                Math.min(1, SUCCESS_GAIN * context.answers.gapUs.count()) * Math.max(0, 2 * successRatio.value() - 1);
        double burst = BURST_ROOTS * well * Math.sqrt(context.servers.totalLimit);
        int inFlight = context.servers.inFlight;
        if (isAtLimit(server) || (inFlight > 0 && inFlight + 1 > context.servers.totalLimit + burst)) {
            server.limitReachedAt = context.now;
            return true;
        }
        return false;
    }

    void recordFirstTry() {
        sendTokens = Math.min(MAX_SEND_TOKENS, sendTokens + SENDS_PER_FIRST_TRY);
    }

    void recordSend() {
        sendTokens = Math.max(0, sendTokens - 1);
    }

    /** Counts an answer: 1 is one in time, less a late one and 0 none. */
    void recordAnswer(double earned) {
        successRatio.add(earned);
        sendTokens = Math.min(MAX_SEND_TOKENS, sendTokens + (earned == 1 ? SENDS_PER_SUCCESS : 0));
    }

    boolean isAtLimit(Server server) {
        return server.inFlight + 1 > Math.max(1, server.concurrencyLimit);
    }
}
