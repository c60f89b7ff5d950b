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

    /**
     * Undecoded bytes, the earliest time at which the first of them may have arrived, and the memory that is counted
     * for them.
     */
    private record Chunk(ByteBuf bytes, long earliestArrivalNs, int countedBytes) {}

    private final HeapBufferLimiter memoryLimiter;
    private final Deque<Chunk> chunks = new ArrayDeque<>(0);
    private int usedBytes;

    /** Creates an empty buffer whose bytes count towards the limiter's total. */
    public InboundBuffer(HeapBufferLimiter memoryLimiter) {
        this.memoryLimiter = memoryLimiter;
    }

    /** Returns whether the buffer is empty. */
    public boolean isEmpty() {
        return chunks.isEmpty();
    }

    /** Returns whether the buffer uses more memory than the limiter allows for a connection. */
    public boolean isOverLimit() {
        return usedBytes > memoryLimiter.windowBytes();
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
            int capacity = Math.max(size, MIN_CHUNK_BYTES);
            tail = new Chunk(Unpooled.buffer(capacity), earliestArrivalNs, capacity);
            chunks.add(tail);
            addToTotals(capacity);
        }
        tail.bytes.writeBytes(received);
        received.release();
    }

    /**
     * Puts the readable bytes of a buffer before all others. Bytes on the heap, such as those returned by
     * {@link #poll}, are not copied again; others are, because a receive buffer is too large to be kept.
     *
     * @param earliestArrivalNs as for {@link #add}
     */
    public void addFirst(ByteBuf input, long earliestArrivalNs) {
        int size = input.readableBytes();
        ByteBuf kept = input.hasArray()
                ? input.readRetainedSlice(size)
                : Unpooled.buffer(size).writeBytes(input);
        int memory = input.hasArray() ? input.capacity() : size;
        chunks.addFirst(new Chunk(kept, earliestArrivalNs, memory));
        addToTotals(memory);
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
        Chunk head = chunks.poll();
        addToTotals(-head.countedBytes);
        return head.bytes;
    }

    /** Removes and releases all bytes. */
    public void clear() {
        while (!isEmpty()) {
            poll().release();
        }
    }

    private void addToTotals(int bytes) {
        usedBytes += bytes;
        memoryLimiter.add(bytes);
    }
}
