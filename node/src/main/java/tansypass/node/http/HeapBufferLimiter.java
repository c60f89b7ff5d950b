package tansypass.node.http;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds the heap memory of what all connections buffer together: heads and bodies of requests, pipelined input, and
 * responses. Above a limit, each body gets a lower buffer threshold and a smaller window, and less is read at once, so
 * that the buffers of the maximum number of clients fit into a second part of the same size. Used on one event loop
 * only, except as noted.
 */
public final class HeapBufferLimiter {
    /** Length of the longest body that is received completely before it is forwarded. */
    static final int BUFFER_THRESHOLD_BYTES = 64 * 1024;
    /** Number of buffered bytes of a body at which reading from its client is paused. */
    public static final int WINDOW_BYTES = 128 * 1024;

    private static final long TOTAL_LIMIT_BYTES = 6 << 20;
    private static final int MAX_REDUCED_WINDOW_BYTES = 32 * 1024;
    /** A smaller window would cost more in overhead for each part than it saves in memory. */
    private static final int MIN_REDUCED_WINDOW_BYTES = 12 * 1024;
    /** A part of a window is for bytes that have been read before reading is paused. */
    private static final int READ_DIVISOR = 3;
    /** A body that is to be forwarded must fit into the window with what has been read meanwhile. */
    private static final int THRESHOLD_DIVISOR = 2;

    private final int reducedWindowBytes;
    private final AtomicLong usedBytes = new AtomicLong();

    /**
     * Creates a limiter that counts nothing yet.
     *
     * @param maxClients the maximum number of client connections
     */
    public HeapBufferLimiter(int maxClients) {
        long share = TOTAL_LIMIT_BYTES / Math.max(1, maxClients);
        reducedWindowBytes = (int) Math.max(MIN_REDUCED_WINDOW_BYTES, Math.min(MAX_REDUCED_WINDOW_BYTES, share));
    }

    /** Adds to the number of bytes in use, or subtracts from it. */
    public void add(int bytes) {
        usedBytes.getAndAdd(bytes);
    }

    private boolean isOverLimit() {
        return usedBytes.get() > TOTAL_LIMIT_BYTES;
    }

    /** Returns the number of buffered bytes above which a body is forwarded before it is complete. */
    int bufferThresholdBytes() {
        return isOverLimit() ? reducedWindowBytes / THRESHOLD_DIVISOR : BUFFER_THRESHOLD_BYTES;
    }

    /** Returns the number of buffered bytes of a connection at which reading from its client is paused. */
    int windowBytes() {
        return isOverLimit() ? reducedWindowBytes : WINDOW_BYTES;
    }

    /** Returns the length of the longest response that is received completely before it is forwarded. */
    int maxResponseBytes() {
        return isOverLimit() ? reducedWindowBytes / THRESHOLD_DIVISOR : ResponseReader.MAX_BUFFERED_BYTES;
    }

    /** Returns the largest number of bytes to be read at once from a client. */
    public int maxReadBytes() {
        return isOverLimit() ? reducedWindowBytes / READ_DIVISOR : ConnectionBufferLimits.MAX_READ_BYTES;
    }

    /** Returns the number of bytes in use. May be called from any thread. */
    public long usedBytes() {
        return usedBytes.get();
    }
}
