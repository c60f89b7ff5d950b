package tansypass.balancer;

/** Statistics of the responses of all servers: latencies by class, response intervals, and the share of late ones. */
final class ResponseStatistics {
    /** Smallest share of a new value in a running mean, which then covers about the last 32 values. */
    static final double MEAN_GAIN = 1.0 / 32;

    /** Assumed interval between two responses, before the first one. */
    private static final double INITIAL_INTERVAL_US = 1_000_000;

    /** Factor by which a minimum latency grows with each response, so that it follows when requests need more work. */
    private static final double MIN_LATENCY_DRIFT = 1.0001;

    /** Smallest number of responses whose mean is used for the minimum: the mean of fewer is mostly chance. */
    private static final int MIN_RESPONSES = 16;

    private final RunningMean intervalUs = new RunningMean(MEAN_GAIN, INITIAL_INTERVAL_US);
    private final RunningMean unitCapacityIntervalUs = new RunningMean(MEAN_GAIN, 0);
    private final Ewma lateRatio = new Ewma(MEAN_GAIN, 0);
    private final MeanWithDriftingMinimum[] latencyUs;
    private long lastResponseAtUs;

    /** Creates statistics without responses, for this number of request classes. */
    ResponseStatistics(int classes) {
        latencyUs = MeanWithDriftingMinimum.array(classes, MEAN_GAIN, MIN_LATENCY_DRIFT, MIN_RESPONSES);
    }

    /** Returns the mean latency of the request's class, 0 before the first response. */
    double meanLatencyUs(PendingRequest pending) {
        return latencyUs[pending.classIndex()].mean();
    }

    /**
     * Returns the minimum of the mean latency of the request's class: 0 before the first response, then
     * {@link Double#MAX_VALUE} until there are enough responses.
     */
    double minLatencyUs(PendingRequest pending) {
        return latencyUs[pending.classIndex()].minimum();
    }

    /** Returns the number of responses. */
    int count() {
        return intervalUs.count();
    }

    /** Returns the mean time between two responses. */
    double meanIntervalUs() {
        return intervalUs.value();
    }

    /**
     * Returns the mean time between two responses, multiplied by the present capacity of all servers. This is the mean
     * response interval of a server of capacity 1. The result grows with the time since the last response, for the case
     * that responses become rare.
     */
    double unitCapacityIntervalUs(double presentCapacity, long nowUs) {
        if (count() == 0) {
            return INITIAL_INTERVAL_US * presentCapacity;
        }
        double waitedUs = MEAN_GAIN * (nowUs - lastResponseAtUs);
        return Math.max(unitCapacityIntervalUs.value(), waitedUs * presentCapacity);
    }

    /** Returns the share of attempts that failed or missed their latency objective. */
    double lateRatio() {
        return lateRatio.value();
    }

    /** Records that an attempt is sent. The first response interval begins with the first attempt. */
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
     * @param presentCapacity capacity of all ready servers, in the unit of the endpoint list's weights
     */
    void recordResponse(PendingRequest pending, long responseLatencyUs, double presentCapacity, long nowUs) {
        latencyUs[pending.classIndex()].add((double) responseLatencyUs);
        intervalUs.add((double) (nowUs - lastResponseAtUs));
        unitCapacityIntervalUs.add((nowUs - lastResponseAtUs) * presentCapacity);
        lastResponseAtUs = nowUs;
    }
}
