package tansypass.balancer;

/**
 * Estimates the time since a client's first try from the time that its request has left. The mode of the times left
 * of a class's requests is that of first tries; a request with less left is a later try.
 */
final class ElapsedTimeEstimator {
    /** Times left that differ by less than this share of the deadline are the same: delays on the way differ. */
    private static final double TOLERANCE = 0.02;

    /** Share of a class's requests from which a time left is that of first tries; under overload most are retries. */
    private static final double MIN_SHARE = 0.2;

    private final BalancerSettings settings;
    private final ModeEstimator[] firstTryRemainingUs;

    ElapsedTimeEstimator(BalancerSettings settings) {
        this.settings = settings;
        firstTryRemainingUs = ModeEstimator.array(settings.classes().size(), ResponseStatistics.MEAN_GAIN, MIN_SHARE);
    }

    /** Records a request; returns the time since its client's first try, 0 if it is the first. */
    long recordRequest(BalancerRequest request) {
        long deadlineUs = settings.classes().get(request.classIndex()).deadlineUs();
        double toleranceUs = TOLERANCE * deadlineUs;
        ModeEstimator firstTries = firstTryRemainingUs[request.classIndex()];
        firstTries.record(request.remainingUs(), toleranceUs);
        if (firstTries.isMode(request.remainingUs(), toleranceUs)) {
            return 0;
        }
        return Math.max(0, deadlineUs - request.remainingUs());
    }
}
