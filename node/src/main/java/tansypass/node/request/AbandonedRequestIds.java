package tansypass.node.request;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The ids of requests that may have been executed, and whose clients have disconnected before they got a response. A
 * request with such an id is not sent again unless it is idempotent. The number of ids and the time for which they are
 * kept are bounded. Used on the event loop only.
 */
final class AbandonedRequestIds {
    /** The time for which an id is kept: a client that repeats a request does so soon. */
    static final long RETENTION_NS = TimeUnit.SECONDS.toNanos(60);

    /** At most some 0.5 MB of heap. The oldest id is dropped for another one. */
    static final int MAX_IDS = 4_096;

    /** The times at which ids were added, by {@link System#nanoTime}, the oldest first. */
    private final Map<Long, Long> addedNs = new LinkedHashMap<>();

    /** Adds an id. */
    void add(long id, long nowNs) {
        addedNs.remove(id);
        addedNs.put(id, nowNs);
        dropOldest(nowNs);
    }

    /** Returns whether the id was added within the retention time. */
    boolean contains(long id, long nowNs) {
        dropOldest(nowNs);
        return addedNs.containsKey(id);
    }

    private void dropOldest(long nowNs) {
        Iterator<Long> oldestFirst = addedNs.values().iterator();
        while (oldestFirst.hasNext() && (nowNs - oldestFirst.next() >= RETENTION_NS || addedNs.size() > MAX_IDS)) {
            oldestFirst.remove();
        }
    }
}
