package tansypass.balancer;

/** Statistics of the responses of all servers: latencies by class, the time between two, the share that is late. */
final class ResponseStatistics {
    /** Smallest share of a new value in a running mean: about the last 32 values count. */
    static final double MEAN_GAIN = 1.0 / 32;

    /** Time between two responses that a node assumes before its first one. */
    private static final double INITIAL_GAP_US = 1_000_000;

    /** Factor by which a minimum latency grows with each response, so that it follows a change of the work. */
    private static final double MIN_LATENCY_DRIFT = 1.0001;

    /** The mean of fewer responses is chance and does not count as a minimum. */
    private static final int MIN_RESPONSES = 16;

    private final RunningMean gapUs = new RunningMean(MEAN_GAIN, INITIAL_GAP_US);
    private final RunningMean capacityGapUs = new RunningMean(MEAN_GAIN, 0);
    private final Ewma lateRatio = new Ewma(MEAN_GAIN, 0);
    private final MeanWithDriftingMinimum[] latencyUs;
    private long lastResponseAtUs;

    /** Statistics without responses, for so many classes of requests. */
    ResponseStatistics(int classes) {
        latencyUs = MeanWithDriftingMinimum.array(classes, MEAN_GAIN, MIN_LATENCY_DRIFT, MIN_RESPONSES);
    }

    /** Mean latency of the request's class, 0 before the first response. */
    double meanLatencyUs(PendingRequest pending) {
        return latencyUs[pending.classIndex()].mean();
    }

    /**
     * Minimum of the mean latency of the request's class, {@link Double#MAX_VALUE} until there are enough responses.
     */
    double minLatencyUs(PendingRequest pending) {
        return latencyUs[pending.classIndex()].minimum();
    }

    /** Number of responses. */
    int count() {
        return gapUs.count();
    }

    /** Mean time between two responses. */
    double meanGapUs() {
        return gapUs.value();
    }

    /**
     * Mean time between two responses, multiplied by the present capacity of all servers: the time in which a server
     * of capacity 1 gives one response. It is never shorter than the time since the last response suggests.
     */
    double capacityGapUs(double presentCapacity, long nowUs) {
        if (count() == 0) {
            return INITIAL_GAP_US * presentCapacity;
        }
        double waitedUs = MEAN_GAIN * (nowUs - lastResponseAtUs);
        return Math.max(capacityGapUs.value(), waitedUs * presentCapacity);
    }

    /** Share of attempts that failed or missed their latency objective. */
    double lateRatio() {
        return lateRatio.value();
    }

    /** The first gap begins with the first attempt, not with the caller's clock. */
    void recordSend(long nowUs) {
        if (lastResponseAtUs == 0) {
            lastResponseAtUs = nowUs;
        }
    }

    /** Records whether an attempt failed or missed its latency objective. */
    void recordLateness(boolean late) {
        lateRatio.add(late ? 1 : 0);
    }

    /**
     * Records a response.
     *
     * @param presentCapacity of all ready servers, in the unit of the list's weights
     */
    void recordResponse(PendingRequest pending, long responseLatencyUs, double presentCapacity, long nowUs) {
        latencyUs[pending.classIndex()].add((double) responseLatencyUs);
        gapUs.add((double) (nowUs - lastResponseAtUs));
        capacityGapUs.add((nowUs - lastResponseAtUs) * presentCapacity);
        lastResponseAtUs = nowUs;
    }
}
