package tansypass.balancer;

/** An exponentially weighted moving average. */
final class Ewma {
    private final double gain;
    private double value;

    /**
     * Creates an average without values.
     *
     * @param gain share of a new value in the average, in (0, 1]
     * @param initial average before the first value
     */
    Ewma(double gain, double initial) {
        this.gain = gain;
        value = initial;
    }

    void add(double newValue) {
        value += gain * (newValue - value);
    }

    double value() {
        return value;
    }
}
