package tansypass.balancer;

/** An exponentially weighted moving average that decays to a baseline while there are no new values. */
final class DecayingEwma {
    private final double gain;
    private final double baseline;
    private double value;
    private long addedAtUs;

    /**
     * Creates an average at its baseline.
     *
     * @param gain share of a new value in the average, in (0, 1]
     * @param baseline value that the average decays to
     */
    DecayingEwma(double gain, double baseline) {
        this.gain = gain;
        this.baseline = baseline;
        value = baseline;
    }

    /** Adds a value. The distance from the baseline decays to 1/e in {@code decayUs} microseconds. */
    void add(double newValue, long nowUs, double decayUs) {
        double decayedValue = value(nowUs, decayUs);
        value = decayedValue + gain * (newValue - decayedValue);
        addedAtUs = nowUs;
    }

    /** Returns the average as of now; {@code decayUs} has the same meaning as in {@link #add}. */
    double value(long nowUs, double decayUs) {
        return baseline + (value - baseline) * Math.exp(-(nowUs - addedAtUs) / decayUs);
    }
}
