package tansypass.node.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;

/**
 * A request body between its client and a server. It is replayable: it can be read from its start repeatedly, until its
 * window is full and the part that was read is dropped. It owns its bytes until {@link #close}. Used on one event loop
 * only.
 */
public final class RequestBody {
    /** Small pieces are merged into buffers of this size, so that a piece of one byte does not cost an object. */
    private static final int MIN_PART_BYTES = 4_096;

    private final BodyMemoryLimiter memoryLimiter;
    private final List<ByteBuf> parts = new ArrayList<>(2);
    private Runnable onContent = () -> {};
    private Runnable onWindowAvailable = () -> {};
    private Runnable onNotReplayable = () -> {};
    private int nextPart;
    private long length;
    private int bufferedBytes;
    private boolean complete;
    private boolean replayable = true;
    private boolean paused;

    /** Creates an empty body whose bytes count against the limiter. */
    public RequestBody(BodyMemoryLimiter memoryLimiter) {
        this.memoryLimiter = memoryLimiter;
    }

    /**
     * Sets what runs when the window has capacity again after {@link #isWindowFull} returned true, and what runs
     * once when the body stops being replayable.
     */
    public void setListeners(Runnable whenWindowAvailable, Runnable whenNotReplayable) {
        onWindowAvailable = whenWindowAvailable;
        onNotReplayable = whenNotReplayable;
    }

    /** Appends a copy of received bytes: keeping a slice would keep the complete receive buffer. */
    public void add(ByteBuf content) {
        int size = content.readableBytes();
        if (size == 0) {
            return;
        }
        length += size;
        bufferedBytes += size;
        memoryLimiter.add(size);
        ByteBuf last = parts.isEmpty() ? null : parts.get(parts.size() - 1);
        if (last == null || nextPart == parts.size() || last.writableBytes() < size) {
            last = parts.isEmpty() ? Unpooled.buffer(size) : Unpooled.buffer(Math.max(size, MIN_PART_BYTES));
            parts.add(last);
        }
        last.writeBytes(content);
        onContent.run();
        dropReadParts();
    }

    /** Marks the body as completely received. */
    public void complete() {
        complete = true;
        onContent.run();
    }

    /** Returns whether the last byte has been received. */
    public boolean isComplete() {
        return complete;
    }

    /** Returns the number of bytes received so far. */
    public long length() {
        return length;
    }

    /** Returns whether it is too long to be received completely before it is forwarded. */
    public boolean isOverBufferThreshold() {
        return bufferedBytes > memoryLimiter.bufferThresholdBytes();
    }

    /**
     * Returns whether reading from the client has to be paused; if so, the listener runs once the window has
     * capacity again.
     */
    public boolean isWindowFull() {
        paused = !complete && bufferedBytes >= memoryLimiter.windowBytes();
        return paused;
    }

    /** Returns whether all bytes received are still buffered, so that it can be read from its start. */
    public boolean isReplayable() {
        return replayable;
    }

    /** Returns the complete body as a buffer that the caller has to release; it must be complete and replayable. */
    public ByteBuf retainedContent() {
        ByteBuf[] all = parts.stream().map(ByteBuf::retainedDuplicate).toArray(ByteBuf[]::new);
        return Unpooled.wrappedBuffer(all);
    }

    /**
     * Starts reading at the start of the body.
     *
     * @param whenContent runs when more content, or the end, has been received
     * @throws IllegalStateException if the body is no longer replayable
     */
    void rewind(Runnable whenContent) {
        if (!replayable) {
            throw new IllegalStateException("body is no longer replayable, length " + length);
        }
        nextPart = 0;
        onContent = whenContent;
    }

    /** Stops notifying the reader. */
    void stopReading() {
        onContent = () -> {};
    }

    /** Returns the next part, which the caller has to release; null if none is available yet. */
    ByteBuf readNextOrNull() {
        if (nextPart == parts.size()) {
            return null;
        }
        ByteBuf part = parts.get(nextPart++).retainedDuplicate();
        dropReadParts();
        return part;
    }

    /** Returns whether the body is complete and the reader has read all of it. */
    boolean isFullyRead() {
        return complete && nextPart == parts.size();
    }

    /** Drops parts that were read while the window is full and the body is incomplete. */
    private void dropReadParts() {
        while (!complete && nextPart > 0 && bufferedBytes >= memoryLimiter.windowBytes()) {
            ByteBuf dropped = parts.remove(0);
            nextPart--;
            release(dropped);
            if (replayable) {
                replayable = false;
                onNotReplayable.run();
            }
        }
        if (paused && !isWindowFull()) {
            onWindowAvailable.run();
        }
    }

    private void release(ByteBuf part) {
        bufferedBytes -= part.readableBytes();
        memoryLimiter.add(-part.readableBytes());
        part.release();
    }

    /** Releases all bytes; calling it again has no effect. */
    public void close() {
        stopReading();
        parts.forEach(this::release);
        parts.clear();
        nextPart = 0;
        replayable &= length == 0;
    }
}
