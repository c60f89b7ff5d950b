package tansypass.balancer;

/** How many requests this node may have in flight at one server. Times are microseconds of the caller's clock. */
final class ConcurrencyLimit {
    /** Limit of a new server over all nodes: few enough for a single core. */
    private static final double INITIAL_LIMIT = 4;

    private double value;
    private long decreasedAtUs;
    private long reachedAtUs;

    /** A new server's limit, divided among so many nodes. */
    ConcurrencyLimit(int nodes) {
        reset(nodes);
    }

    /** The limit: a mean, and not a whole number. */
    double value() {
        return value;
    }

    /** Whether a further request would exceed the limit; one is always allowed. */
    boolean isReached(int inFlight) {
        return inFlight + 1 > Math.max(1, value);
    }

    /** Returns to the limit of a new server. */
    void reset(int nodes) {
        value = INITIAL_LIMIT / nodes;
    }

    /** Scales the limit with this node's share of the servers. */
    void scale(double factor) {
        value *= factor;
    }

    void increase(double amount) {
        value += amount;
    }

    /**
     * Cuts the limit, once for all requests that were sent before the last cut.
     *
     * @param part share of the limit that is cut, in [0, 1)
     * @param min the limit does not fall below this
     */
    void decrease(double part, double min, long sentAtUs, long nowUs) {
        if (sentAtUs >= decreasedAtUs) {
            value = Math.max(min, value * (1 - part));
            decreasedAtUs = nowUs;
        }
    }

    /** Records that a request was not sent because of the limit. */
    void recordReached(long nowUs) {
        reachedAtUs = nowUs;
    }

    /** Whether that happened at this time or later. */
    boolean wasReachedSince(long sinceUs) {
        return reachedAtUs >= sinceUs;
    }
}
