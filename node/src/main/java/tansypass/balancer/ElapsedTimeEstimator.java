package tansypass.balancer;

/**
 * Estimates how long ago a client first tried a request, from the request's remaining time. The mode of
 * the remaining times of a class is taken as the remaining time of first tries. A request with less remaining time is a
 * later try.
 */
final class ElapsedTimeEstimator {
    /** Remaining times that differ by up to this share of the deadline are the same, because network delays vary. */
    private static final double TOLERANCE = 0.02;

    /** Smallest share of a class's requests that must match the mode. It is low: under overload most are retries. */
    private static final double MIN_SHARE = 0.2;

    private final BalancerSettings settings;
    private final ModeEstimator[] firstTryRemainingUs;

    ElapsedTimeEstimator(BalancerSettings settings) {
        this.settings = settings;
        firstTryRemainingUs = ModeEstimator.array(settings.classes().size(), ResponseStatistics.MEAN_GAIN, MIN_SHARE);
    }

    /** Records a request. Returns the time since the client's first try, 0 if this is the first try. */
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
