package tansypass.balancer;

/** The number of requests that this node may send to one server that is warming up. Times are microseconds. */
final class SlowStartBudget {
    private double requests;
    private long refilledAtUs;

    double requests() {
        return requests;
    }

    /** Sets the initial budget of a server that has just started. */
    void start(double initialRequests, long nowUs) {
        requests = initialRequests;
        refilledAtUs = nowUs;
    }

    /**
     * Adds requests to the budget for the time since the last refill.
     *
     * @param intervalUs time in which one request is added, above 0
     * @param capacity largest number of requests that the budget holds
     */
    void refill(double intervalUs, double capacity, long nowUs) {
        double refilled = requests + (nowUs - refilledAtUs) / intervalUs;
        requests = Math.min(capacity, refilled);
        refilledAtUs = nowUs;
    }

    void takeOne() {
        requests--;
    }
}
