package tansypass.node.http;

import io.netty.channel.WriteBufferWaterMark;

/**
 * Bounds the direct memory in which parts of messages wait until their receivers accept them. It counts the bytes that
 * wait on all connections, see {@link StreamWindow}. Above a limit each streamed message gets a smaller window, so
 * that those of all clients together fit into memory: at the JVM's limit of direct memory every allocation would stop
 * the event loop for up to half a second. Used on one event loop only.
 */
public final class StreamMemoryLimiter {
    /**
     * The direct memory divided by this number is the limit, and also the size of all reduced windows together. Both
     * hold buffers that may be half empty. The other third is for reads, short messages and unused parts of chunks.
     */
    private static final int DIVISOR = 6;
    /** A part of a window is for bytes that have been read before the sender is paused, as it is in a full window. */
    private static final int READ_DIVISOR = 3;

    private static final int LOW_MARK_DIVISOR = 4;
    private static final int FULL_WINDOW_BYTES =
            ConnectionBufferLimits.WATER_MARK.high() + ConnectionBufferLimits.MAX_READ_BYTES;
    /** A smaller window would cost more in overhead for each part than it saves in memory. */
    private static final int MIN_WINDOW_BYTES = 6 * 1024;

    private final long limitBytes;
    private final WriteBufferWaterMark reducedWaterMark;
    private final int reducedReadBytes;
    private long usedBytes;

    /**
     * Creates a limiter that counts nothing yet.
     *
     * @param directMemoryBytes the limit of the JVM's direct memory
     * @param maxStreams the maximum number of messages that are streamed at the same time
     */
    public StreamMemoryLimiter(long directMemoryBytes, int maxStreams) {
        limitBytes = directMemoryBytes / DIVISOR;
        int windowBytes =
                (int) Math.max(MIN_WINDOW_BYTES, Math.min(FULL_WINDOW_BYTES, limitBytes / Math.max(1, maxStreams)));
        reducedReadBytes = windowBytes / READ_DIVISOR;
        int highMark = windowBytes - reducedReadBytes;
        reducedWaterMark = new WriteBufferWaterMark(highMark / LOW_MARK_DIVISOR, highMark);
    }

    /** Adds to the number of waiting bytes, or subtracts from it. */
    void add(long bytes) {
        usedBytes += bytes;
    }

    /** Returns the number of bytes that wait on all connections, as far as they have been counted. */
    long usedBytes() {
        return usedBytes;
    }

    private boolean isOverLimit() {
        return usedBytes > limitBytes;
    }

    /** Returns the marks of a connection's write buffer for the next part of a streamed message. */
    WriteBufferWaterMark waterMark() {
        return isOverLimit() ? reducedWaterMark : ConnectionBufferLimits.WATER_MARK;
    }

    /** Returns the largest number of bytes to be read at once from the sender of a message that may be streamed. */
    public int maxReadBytes() {
        return isOverLimit() ? reducedReadBytes : ConnectionBufferLimits.MAX_READ_BYTES;
    }
}
