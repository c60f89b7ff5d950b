package tansypass.balancer;

/** Counts items that all expire once the newest of them is too old. Times are microseconds of the caller's clock. */
final class ExpiringCounter {
    private int count;
    private long newestAt;

    /** Whether an item is left and the newest one was added at {@code sinceUs} or later. */
    boolean hasAny(long sinceUs) {
        return count > 0 && newestAt >= sinceUs;
    }

    /** Adds an item; all others expire if the newest of them was added before {@code sinceUs}. */
    void add(long nowUs, long sinceUs) {
        count = hasAny(sinceUs) ? count + 1 : 1;
        newestAt = nowUs;
    }

    /** Removes an item if there is one. */
    void remove() {
        count = Math.max(0, count - 1);
    }
}
