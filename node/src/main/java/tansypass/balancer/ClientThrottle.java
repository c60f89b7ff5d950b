package tansypass.balancer;

/**
 * Client-side throttling. While too few attempts get a response in time, this node sends only a few attempts for each
 * response in time. Its load falls until an overloaded cluster recovers. This is a departure from ServiceQ.
 */
final class ClientThrottle {
    /** Share of a new outcome in the success ratio. */
    private static final double SUCCESS_GAIN = 1.0 / 16;

    /** Attempts that a throttled node may send for each response in time. */
    private static final double SENDS_PER_SUCCESS = 2;

    /** Success ratio below which this node throttles. */
    private static final double THROTTLE_THRESHOLD = 1 / SENDS_PER_SUCCESS;

    /** Attempts that a throttled node may send for each request that is its client's first try. */
    private static final double SENDS_PER_FIRST_TRY = 0.03;

    /** Largest number of attempts that can be saved up. */
    private static final double MAX_SEND_TOKENS = 3;

    private final Ewma successRatio = new Ewma(SUCCESS_GAIN, 1);
    private double sendTokens;

    /** Returns whether no attempt may be sent now. */
    boolean isThrottling() {
        return successRatio.value() < THROTTLE_THRESHOLD && sendTokens < 1;
    }

    /** Returns the share of attempts with a response in time, from 0 to 1. Late responses count in part. */
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
     * Records the outcome of an attempt.
     *
     * @param value 1 for a response in time, less for a late response, 0 for no response
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
