package tansypass.balancer;

import java.util.Arrays;

/** A running mean and its minimum. The minimum drifts upwards with each value, so that it follows a rising mean. */
final class MeanWithDriftingMinimum {
    private final RunningMean mean;
    private final double drift;
    private final int minCount;
    private double minimum;

    /**
     * Creates a mean without values.
     *
     * @param gain smallest share of a new value in the mean, in (0, 1]
     * @param drift factor by which the minimum grows with each value, 1 or more
     * @param minCount number of values from which on the mean is used for the minimum
     */
    MeanWithDriftingMinimum(double gain, double drift, int minCount) {
        mean = new RunningMean(gain, 0);
        this.drift = drift;
        this.minCount = minCount;
    }

    /** Creates an array of means with these parameters. */
    static MeanWithDriftingMinimum[] array(int length, double gain, double drift, int minCount) {
        MeanWithDriftingMinimum[] means = new MeanWithDriftingMinimum[length];
        Arrays.setAll(means, i -> new MeanWithDriftingMinimum(gain, drift, minCount));
        return means;
    }

    void add(double newValue) {
        mean.add(newValue);
        if (mean.count() < minCount) {
            minimum = Double.MAX_VALUE;
        } else {
            minimum = Math.min(minimum * drift, mean.value());
        }
    }

    /** Returns the mean, 0 before the first value. */
    double mean() {
        return mean.value();
    }

    /** Returns the minimum: 0 before the first value, then {@link Double#MAX_VALUE} until there are enough values. */
    double minimum() {
        return minimum;
    }
}
