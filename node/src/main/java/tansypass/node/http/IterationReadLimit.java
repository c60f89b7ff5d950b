package tansypass.node.http;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import tansypass.node.lifecycle.ArrivalEstimator;

/**
 * Bounds how much is read from each connection in an iteration of the event loop. Small messages and chunks cost far
 * more processor time than their bytes; without this bound a few connections that are full of them would keep all
 * others waiting for a second. The longer the iteration has been busy, the less is read from each further connection.
 * Used on one event loop only.
 */
public final class IterationReadLimit {
    /** The busy time from which on less is read. */
    static final long REDUCED_AFTER_NS = TimeUnit.MILLISECONDS.toNanos(10);
    /** The busy time from which on the least is read: a third of the longest hold-up that clients' times allow. */
    static final long MINIMAL_AFTER_NS = TimeUnit.MILLISECONDS.toNanos(50);

    static final int REDUCED_BYTES = 8 * 1024;
    static final int MINIMAL_BYTES = 512;

    private final LongSupplier busyNs;

    /** Creates the limit for connections of the calling event loop. */
    public IterationReadLimit() {
        this(ArrivalEstimator::sincePollNs);
    }

    /**
     * Creates a limit with another source of the time.
     *
     * @param busyNs returns the time since the present iteration began, in nanoseconds
     */
    IterationReadLimit(LongSupplier busyNs) {
        this.busyNs = busyNs;
    }

    /** Returns the number of bytes after which no more is read from a connection in the present iteration. */
    int maxBytes() {
        long busy = busyNs.getAsLong();
        if (busy < REDUCED_AFTER_NS) {
            return Integer.MAX_VALUE;
        }
        return busy < MINIMAL_AFTER_NS ? REDUCED_BYTES : MINIMAL_BYTES;
    }
}
