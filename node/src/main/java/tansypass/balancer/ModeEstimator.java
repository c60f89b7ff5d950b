package tansypass.balancer;

import java.util.Arrays;

/** Estimates the mode of a series of values: the value that recurs, within a tolerance. */
final class ModeEstimator {
    private final RunningMean share;
    private final double minShare;
    private long mode;

    /**
     * An estimator without values.
     *
     * @param gain smallest weight of a new value in the share of values that match the mode, in (0, 1]
     * @param minShare share of matching values below which the next value that differs becomes the mode
     */
    ModeEstimator(double gain, double minShare) {
        share = new RunningMean(gain, 0);
        this.minShare = minShare;
    }

    /** Creates so many estimators with these parameters. */
    static ModeEstimator[] array(int length, double gain, double minShare) {
        ModeEstimator[] estimators = new ModeEstimator[length];
        Arrays.setAll(estimators, i -> new ModeEstimator(gain, minShare));
        return estimators;
    }

    /** Whether a value matches the mode. */
    boolean isMode(long value, double tolerance) {
        return Math.abs(value - mode) <= tolerance;
    }

    /** Records a value. */
    void record(long value, double tolerance) {
        boolean matches = isMode(value, tolerance);
        share.add(matches ? 1 : 0);
        if (!matches && share.value() < minShare) {
            mode = value;
        }
    }
}
