package tansypass.balancer;

import java.util.Arrays;

/** Estimates the mode of a series of values, which is the most frequent value within a tolerance. */
final class ModeEstimator {
    private final RunningMean matchingShare;
    private final double minShare;
    private long mode;

    /**
     * Creates an estimator without values.
     *
     * @param gain smallest weight of a new value in the share of matching values, in (0, 1]
     * @param minShare share of values that match the mode, below which a value that differs becomes the new mode
     */
    ModeEstimator(double gain, double minShare) {
        matchingShare = new RunningMean(gain, 0);
        this.minShare = minShare;
    }

    /** Creates an array of estimators with these parameters. */
    static ModeEstimator[] array(int length, double gain, double minShare) {
        ModeEstimator[] estimators = new ModeEstimator[length];
        Arrays.setAll(estimators, i -> new ModeEstimator(gain, minShare));
        return estimators;
    }

    /** Returns whether a value matches the mode. */
    boolean isMode(long value, double tolerance) {
        return Math.abs(value - mode) <= tolerance;
    }

    /** Records a value, which may become the mode. */
    void record(long value, double tolerance) {
        boolean matches = isMode(value, tolerance);
        matchingShare.add(matches ? 1 : 0);
        if (!matches && matchingShare.value() < minShare) {
            mode = value;
        }
    }
}
