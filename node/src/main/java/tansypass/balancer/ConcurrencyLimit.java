package tansypass.balancer;

/**
 * The number of attempts that this node may have in flight at one server. Times are microseconds of the caller's clock.
 */
final class ConcurrencyLimit {
    /** Limit of a new server over all nodes, low enough for a server with a single core. */
    private static final double INITIAL_LIMIT = 4;

    private double value;
    private long lastCutAtUs;
    private long lastReachedAtUs;

    /** Creates the limit of a new server that is shared by this number of nodes. */
    ConcurrencyLimit(int nodes) {
        reset(nodes);
    }

    /** Returns the limit, which is a mean and need not be a whole number. */
    double value() {
        return value;
    }

    /** Returns whether a further attempt would exceed the limit. A single attempt never does. */
    boolean isReached(int inFlight) {
        return inFlight + 1 > Math.max(1, value);
    }

    /** Resets the limit to that of a new server. */
    void reset(int nodes) {
        value = INITIAL_LIMIT / nodes;
    }

    /** Multiplies the limit by a factor because this node's share of the servers has changed. */
    void scale(double factor) {
        value *= factor;
    }

    void increase(double amount) {
        value += amount;
    }

    /**
     * Cuts the limit because of an attempt, unless the limit was cut after that attempt was sent.
     *
     * @param share share of the limit that is cut, in [0, 1)
     * @param minLimit value that the limit does not fall below
     */
    void cut(double share, double minLimit, long sentAtUs, long nowUs) {
        if (sentAtUs >= lastCutAtUs) {
            value = Math.max(minLimit, value * (1 - share));
            lastCutAtUs = nowUs;
        }
    }

    /** Records that a request was not sent because of the limit. */
    void recordReached(long nowUs) {
        lastReachedAtUs = nowUs;
    }

    /** Returns whether a request was not sent because of the limit at {@code sinceUs} or later. */
    boolean wasReachedSince(long sinceUs) {
        return lastReachedAtUs >= sinceUs;
    }
}
