package tansypass.node.http;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Counts the heap memory that the buffered request bodies and the pipelined input of all connections use together.
 * Above a limit, each gets a lower buffer threshold and a smaller window. Used on one event loop only, except as noted.
 */
public final class BodyMemoryLimiter {
    /** Length of the longest body that is received completely before it is forwarded. */
    static final int BUFFER_THRESHOLD_BYTES = 64 * 1024;
    /** Number of buffered bytes of a body at which reading from its client is paused. */
    public static final int WINDOW_BYTES = 128 * 1024;
    /**
     * Buffer threshold while the limit is exceeded. This and the reduced window are so small that the bodies of the
     * maximum number of clients fit in memory.
     */
    private static final int REDUCED_BUFFER_THRESHOLD_BYTES = 16 * 1024;

    private static final int REDUCED_WINDOW_BYTES = 32 * 1024;
    private static final long TOTAL_LIMIT_BYTES = 6 << 20;

    private final AtomicLong usedBytes = new AtomicLong();

    void add(int bytes) {
        usedBytes.getAndAdd(bytes);
    }

    /** Returns the number of buffered bytes above which a body is forwarded before it is complete. */
    int bufferThresholdBytes() {
        return usedBytes.get() > TOTAL_LIMIT_BYTES ? REDUCED_BUFFER_THRESHOLD_BYTES : BUFFER_THRESHOLD_BYTES;
    }

    /** Returns the number of buffered bytes of a body at which reading from its client is paused. */
    int windowBytes() {
        return usedBytes.get() > TOTAL_LIMIT_BYTES ? REDUCED_WINDOW_BYTES : WINDOW_BYTES;
    }

    /** Returns the number of bytes in use. May be called from any thread. */
    public long usedBytes() {
        return usedBytes.get();
    }
}
