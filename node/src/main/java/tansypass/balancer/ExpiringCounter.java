package tansypass.balancer;

/** A count of items that expire together as soon as the newest is too old. Times are microseconds. */
final class ExpiringCounter {
    private int count;
    private long newestAtUs;

    /** Returns whether there is an item and the newest one was added at {@code sinceUs} or later. */
    boolean hasAny(long sinceUs) {
        return count > 0 && newestAtUs >= sinceUs;
    }

    /** Adds an item. All others expire if the newest of them was added before {@code sinceUs}. */
    void add(long nowUs, long sinceUs) {
        count = hasAny(sinceUs) ? count + 1 : 1;
        newestAtUs = nowUs;
    }

    /** Removes an item if there is one. */
    void remove() {
        count = Math.max(0, count - 1);
    }
}
