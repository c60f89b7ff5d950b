package tansypass.balancer;

/** A running mean, which is the arithmetic mean of the first values and then an exponentially weighted one. */
final class RunningMean {
    private final double gain;
    private double value;
    private int count;

    /**
     * Creates a mean without values.
     *
     * @param gain smallest share of a new value in the mean, in (0, 1]
     * @param initial mean before the first value
     */
    RunningMean(double gain, double initial) {
        this.gain = gain;
        value = initial;
    }

    /** Adds a value. The first value replaces the initial mean. */
    void add(double newValue) {
        count++;
        value += Math.max(gain, 1.0 / count) * (newValue - value);
    }

    double value() {
        return value;
    }

    /** Returns the number of values added. */
    int count() {
        return count;
    }
}
