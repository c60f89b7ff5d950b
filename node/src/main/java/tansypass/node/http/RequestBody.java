package tansypass.node.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;

/**
 * A request body that is received from a client and read for a server, by one {@link Reader} at a time. At first the
 * body is replayable: it can be read from its start repeatedly. When its window is full, the parts that the present
 * reader has read are dropped, and the body is no longer replayable. It owns its bytes until {@link #close}. Used on
 * one event loop only.
 */
public final class RequestBody {
    /**
     * Smallest capacity of each part after the first. Small pieces share a part, also if a reader has read those
     * before, so that a piece of one byte does not need a buffer of its own.
     */
    private static final int MIN_PART_BYTES = 4_096;

    /** The number of unread bytes at which the reader is notified before the end of a read from the client. */
    private static final int NOTIFY_BYTES = 4_096;

    private final HeapBufferLimiter memoryLimiter;
    private final List<ByteBuf> parts = new ArrayList<>(2);
    /** The open reader, or null if the body is not being read. */
    private Reader reader;

    private Runnable onWindowAvailable = () -> {};
    private Runnable onNotReplayable = () -> {};
    /** The index of the first part that the open reader has not read to the end; 0 if there is no reader. */
    private int nextPartIndex;
    /** The number of bytes of that part that the reader has read. */
    private int nextPartOffset;

    private long length;
    private long readLength;
    private int bufferedBytes;
    private boolean complete;
    private boolean replayable = true;
    private boolean paused;

    /** Creates an empty body whose bytes count towards the limiter's total. */
    public RequestBody(HeapBufferLimiter memoryLimiter) {
        this.memoryLimiter = memoryLimiter;
    }

    /**
     * Sets the listeners of the body.
     *
     * @param whenWindowAvailable runs when the window has capacity again after {@link #isWindowFull} returned true
     * @param whenNotReplayable runs once, when the body is no longer replayable
     */
    public void setListeners(Runnable whenWindowAvailable, Runnable whenNotReplayable) {
        onWindowAvailable = whenWindowAvailable;
        onNotReplayable = whenNotReplayable;
    }

    /**
     * Appends a copy of received bytes. A slice is not kept, because it would keep the whole receive buffer in memory.
     * The reader is notified of a few bytes only by {@link #onReadComplete}, so that small pieces are forwarded
     * together.
     */
    public void add(ByteBuf content) {
        int size = content.readableBytes();
        if (size == 0) {
            return;
        }
        length += size;
        bufferedBytes += size;
        append(content);
        if (length - readLength >= NOTIFY_BYTES || bufferedBytes >= memoryLimiter.windowBytes()) {
            notifyReader();
        }
        dropReadParts();
    }

    private void append(ByteBuf content) {
        if (!parts.isEmpty()) {
            ByteBuf last = parts.get(parts.size() - 1);
            last.writeBytes(content, Math.min(content.readableBytes(), last.writableBytes()));
        }
        if (content.isReadable()) {
            int size = content.readableBytes();
            int capacity = parts.isEmpty() ? size : Math.max(size, MIN_PART_BYTES);
            memoryLimiter.add(capacity);
            parts.add(Unpooled.buffer(capacity, capacity).writeBytes(content));
        }
    }

    /** Notifies the reader of what has been received, because the client has sent no more at present. */
    public void onReadComplete() {
        if (length > readLength) {
            notifyReader();
        }
    }

    /** Marks the body as completely received. */
    public void complete() {
        complete = true;
        notifyReader();
    }

    private void notifyReader() {
        if (reader != null) {
            reader.listener.onContent();
        }
    }

    /** Returns whether the last byte has been received. */
    public boolean isComplete() {
        return complete;
    }

    /** Returns the number of bytes received so far. */
    public long length() {
        return length;
    }

    /** Returns whether the body is so long that it is forwarded before it is complete. */
    public boolean isOverBufferThreshold() {
        return bufferedBytes > memoryLimiter.bufferThresholdBytes();
    }

    /**
     * Returns whether reading from the client must be paused because the window is full. If so, the listener runs when
     * the window has capacity again.
     */
    public boolean isWindowFull() {
        paused = !complete && bufferedBytes >= memoryLimiter.windowBytes();
        return paused;
    }

    /** Returns whether all received bytes are still buffered, so that the body can be read from its start. */
    public boolean isReplayable() {
        return replayable;
    }

    /** Returns the whole body as a buffer that the caller must release. The body must be complete and replayable. */
    public ByteBuf retainedContent() {
        ByteBuf[] all = parts.stream().map(ByteBuf::retainedDuplicate).toArray(ByteBuf[]::new);
        return Unpooled.wrappedBuffer(all);
    }

    /** Returns whether the body can be read from its start: it is replayable and not being read. */
    public boolean canBeRead() {
        return replayable && reader == null;
    }

    /** Receives the events of a body while a reader is open. */
    interface Listener {
        /** Called when more content, or the end of the body, has been received. */
        void onContent();

        /** Called when the body has been closed before the reader was. What it has not read is lost. */
        void onBodyClosed();
    }

    /**
     * Starts to read the body from its start.
     *
     * @throws IllegalStateException unless {@link #canBeRead}
     */
    Reader openReader(Listener listener) {
        if (!canBeRead()) {
            throw new IllegalStateException("body can't be read, replayable: " + replayable + ", length " + length);
        }
        reader = new Reader(listener);
        return reader;
    }

    /** Reads the body for one attempt. A closed reader reads nothing, and has no effect on the reader that follows. */
    final class Reader {
        private final Listener listener;

        private Reader(Listener listener) {
            this.listener = listener;
        }

        /** Returns the next part, which the caller must release; null if no further part has been received yet. */
        ByteBuf readNextOrNull() {
            if (reader != this || !hasUnread()) {
                return null;
            }
            ByteBuf part = parts.get(nextPartIndex);
            int size = part.writerIndex() - nextPartOffset;
            ByteBuf unread = part.retainedSlice(nextPartOffset, size);
            readLength += size;
            nextPartOffset += size;
            skipReadParts();
            dropReadParts();
            return unread;
        }

        /** Returns whether the body is complete and this reader has read all of it. */
        boolean isFullyRead() {
            return reader == this && complete && !hasUnread();
        }

        /** Ends the reading. A replayable body can then be read again. Further calls have no effect. */
        void close() {
            if (reader == this) {
                reader = null;
                moveToStart();
            }
        }
    }

    private boolean hasUnread() {
        return nextPartIndex < parts.size()
                && nextPartOffset < parts.get(nextPartIndex).writerIndex();
    }

    /** Moves behind a part that has been read to the end and can't receive more. */
    private void skipReadParts() {
        if (!parts.get(nextPartIndex).isWritable() && !hasUnread()) {
            nextPartIndex++;
            nextPartOffset = 0;
        }
    }

    private void moveToStart() {
        nextPartIndex = 0;
        nextPartOffset = 0;
        readLength = 0;
    }

    /** While the window is full and the body is incomplete, drops the parts that have been read. */
    private void dropReadParts() {
        while (!complete && nextPartIndex > 0 && bufferedBytes >= memoryLimiter.windowBytes()) {
            ByteBuf dropped = parts.remove(0);
            nextPartIndex--;
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
        memoryLimiter.add(-part.capacity());
        part.release();
    }

    /** Releases all bytes, and notifies an open reader that no more can be read. Further calls have no effect. */
    public void close() {
        Reader interrupted = reader;
        reader = null;
        parts.forEach(this::release);
        parts.clear();
        moveToStart();
        replayable &= length == 0;
        if (interrupted != null) {
            interrupted.listener.onBodyClosed();
        }
    }
}
