package tansypass.node.frontend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelPromise;
import tansypass.node.http.HeapBufferLimiter;

/**
 * The body of a complete response, of which a part is on its way to the client and the remainder waits on the heap.
 * Used on the event loop only.
 */
final class BufferedResponseBody {
    /** The size of the parts. A write copies a part to direct memory, in which it waits for the client. */
    static final int PART_BYTES = 8 * 1024;

    private final ByteBuf content;
    private final HeapBufferLimiter memoryLimiter;
    private final ChannelPromise written;
    private final int countedBytes;

    /**
     * Takes over the content's reference.
     *
     * @param written is completed when the last part has been written
     */
    BufferedResponseBody(ByteBuf content, HeapBufferLimiter memoryLimiter, ChannelPromise written) {
        this.content = content;
        this.memoryLimiter = memoryLimiter;
        this.written = written;
        countedBytes = content.readableBytes();
        memoryLimiter.add(countedBytes);
    }

    /** Returns the promise for the end of the last write. */
    ChannelPromise written() {
        return written;
    }

    /** Returns whether a part remains. */
    boolean hasNext() {
        return content.isReadable();
    }

    /** Returns the next part, which the caller must release. */
    ByteBuf next() {
        return content.readRetainedSlice(Math.min(PART_BYTES, content.readableBytes()));
    }

    /** Releases what remains. Must be called once. */
    void close() {
        memoryLimiter.add(-countedBytes);
        content.release();
    }
}
