package tansypass.balancer;

/** A running mean: the arithmetic mean of the first values, then an exponentially weighted moving average. */
final class RunningMean {
    private final double gain;
    private double value;
    private int count;

    /**
     * A mean without values.
     *
     * @param gain smallest share of a new value in the mean, in (0, 1]
     * @param initial the mean until the first value
     */
    RunningMean(double gain, double initial) {
        this.gain = gain;
        value = initial;
    }

    /** Adds a value; the first one replaces the initial mean. */
    void add(double next) {
        count++;
        value += Math.max(gain, 1.0 / count) * (next - value);
    }

    /** The mean. */
    double value() {
        return value;
    }

    /** Number of values added. */
    int count() {
        return count;
    }
}
