package tansypass.balancer;

/** Requests that this node may send to one server that is warming up. Times are microseconds. */
final class SlowStartBudget {
    private double requests;
    private long refilledAtUs;

    double requests() {
        return requests;
    }

    /** Sets the budget of a server that has just started. */
    void start(double initialRequests, long nowUs) {
        requests = initialRequests;
        refilledAtUs = nowUs;
    }

    /**
     * Adds the requests for the time since the last refill.
     *
     * @param gapUs time in which one request is added, above 0
     * @param capacity most requests that are saved up
     */
    void refill(double gapUs, double capacity, long nowUs) {
        double refilled = requests + (nowUs - refilledAtUs) / gapUs;
        requests = Math.min(capacity, refilled);
        refilledAtUs = nowUs;
    }

    void takeOne() {
        requests--;
    }
}
