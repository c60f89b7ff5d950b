package tansypass.balancer;

/** A sliding window over the latest results, each of which is a success or a failure. */
final class ResultHistory {
    private final int mask;
    /** One bit per result, 1 for a failure; the newest result is the lowest bit. */
    private int bits;

    /**
     * Creates a history without results.
     *
     * @param window number of results in the window, from 1 to 31
     */
    ResultHistory(int window) {
        mask = (1 << window) - 1;
    }

    void add(boolean failure) {
        bits = bits << 1 | (failure ? 1 : 0);
    }

    /** Returns the number of failures in the window. */
    int failures() {
        return Integer.bitCount(bits & mask);
    }

    void clear() {
        bits = 0;
    }
}
