package tansypass.balancer;

/**
 * Departure from ServiceQ, client-side throttling: once too few attempts have a response in time, this node sends
 * only a few attempts for each of those that have, so that its load falls until an overloaded cluster recovers.
 */
final class ClientThrottle {
    /** Share of a new response in the success ratio. */
    private static final double SUCCESS_GAIN = 1.0 / 16;

    /** Attempts that a throttled node may send for each response in time. */
    private static final double SENDS_PER_SUCCESS = 2;

    /** Success ratio below which a node throttles. */
    private static final double THROTTLE_THRESHOLD = 1 / SENDS_PER_SUCCESS;

    /** Attempts that a throttled node may send for each request that is its client's first try. */
    private static final double SENDS_PER_FIRST_TRY = 0.03;

    /** Attempts that may be saved up. */
    private static final double MAX_SEND_TOKENS = 3;

    private final Ewma successRatio = new Ewma(SUCCESS_GAIN, 1);
    private double sendTokens;

    /** Whether no attempt may be sent now. */
    boolean isThrottling() {
        return successRatio.value() < THROTTLE_THRESHOLD && sendTokens < 1;
    }

    /** Share of attempts with a response in time, from 0 to 1; late responses count in part. */
    double successRatio() {
        return successRatio.value();
    }

    void recordFirstTry() {
        addTokens(SENDS_PER_FIRST_TRY);
    }

    void recordSend() {
        sendTokens = Math.max(0, sendTokens - 1);
    }

    /**
     * Records how an attempt ended.
     *
     * @param value 1 for a response in time, less for a late one and 0 for none
     */
    void recordOutcome(double value) {
        successRatio.add(value);
        if (value == 1) {
            addTokens(SENDS_PER_SUCCESS);
        }
    }

    private void addTokens(double tokens) {
        sendTokens = Math.min(MAX_SEND_TOKENS, sendTokens + tokens);
    }
}
