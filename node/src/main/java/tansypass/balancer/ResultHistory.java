package tansypass.balancer;

/** A sliding window over results: which of the latest ones were failures. */
final class ResultHistory {
    private final int mask;
    /** Newest result in the lowest bit; 1 is a failure. */
    private int bits;

    /**
     * A history without results.
     *
     * @param window number of results in the window, from 1 to 31
     */
    ResultHistory(int window) {
        mask = (1 << window) - 1;
    }

    void add(boolean failure) {
        bits = bits << 1 | (failure ? 1 : 0);
    }

    /** Number of failures in the window. */
    int failures() {
        return Integer.bitCount(bits & mask);
    }

    void clear() {
        bits = 0;
    }
}
