package tansypass.node.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * The bytes that a client has sent after a request that is still being served. They are buffered undecoded, because
 * decoded messages use more memory. Used on one event loop only.
 */
public final class InboundBuffer {
    /** Small reads are merged into one chunk if they arrived within this interval after its first read. */
    private static final long MERGE_INTERVAL_NS = TimeUnit.MILLISECONDS.toNanos(10);

    private static final int MIN_CHUNK_BYTES = 512;

    /** Undecoded bytes, and the earliest time at which the first of them may have arrived. */
    private record Chunk(ByteBuf bytes, long earliestArrivalNs) {}

    private final BodyMemoryLimiter memoryLimiter;
    private final Deque<Chunk> chunks = new ArrayDeque<>(0);
    private int bufferedBytes;

    /** Creates an empty buffer whose bytes count towards the limiter's total. */
    public InboundBuffer(BodyMemoryLimiter memoryLimiter) {
        this.memoryLimiter = memoryLimiter;
    }

    /** Returns whether the buffer is empty. */
    public boolean isEmpty() {
        return chunks.isEmpty();
    }

    /** Returns whether more bytes are buffered than the limiter allows for a connection. */
    public boolean isOverLimit() {
        return bufferedBytes > memoryLimiter.windowBytes();
    }

    /**
     * Copies the bytes and releases them. A slice is not kept, because it would keep the whole receive buffer in
     * memory.
     *
     * @param earliestArrivalNs the earliest time at which the bytes may have arrived, by {@link System#nanoTime}
     */
    public void add(ByteBuf received, long earliestArrivalNs) {
        int size = received.readableBytes();
        Chunk tail = chunks.peekLast();
        if (tail == null
                || tail.bytes.writableBytes() < size
                || earliestArrivalNs - tail.earliestArrivalNs > MERGE_INTERVAL_NS) {
            tail = new Chunk(Unpooled.buffer(Math.max(size, MIN_CHUNK_BYTES)), earliestArrivalNs);
            chunks.add(tail);
        }
        tail.bytes.writeBytes(received);
        received.release();
        addToTotals(size);
    }

    /**
     * Returns the earliest time at which the first byte of the oldest chunk may have arrived, by
     * {@link System#nanoTime}. The buffer must not be empty.
     */
    public long oldestArrivalNs() {
        return chunks.peek().earliestArrivalNs;
    }

    /** Removes and returns the oldest chunk, which the caller must release. The buffer must not be empty. */
    public ByteBuf poll() {
        ByteBuf head = chunks.poll().bytes;
        addToTotals(-head.readableBytes());
        return head;
    }

    /** Removes and releases all bytes. */
    public void clear() {
        while (!isEmpty()) {
            poll().release();
        }
    }

    private void addToTotals(int bytes) {
        bufferedBytes += bytes;
        memoryLimiter.add(bytes);
    }
}
