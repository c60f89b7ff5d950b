package tansypass.node.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelConfig;
import io.netty.channel.RecvByteBufAllocator;
import java.util.function.IntSupplier;

/**
 * Allocates the receive buffers of a connection. Their size is chosen by another allocator, and is bounded by a limit
 * that depends on the memory in use. What is read in an iteration of the event loop is bounded by an
 * {@link IterationReadLimit}. Used on one event loop only.
 */
@SuppressWarnings("deprecation") // Netty's type for a delegating handle and its successor have no common base.
public final class BoundedReceiveAllocator implements RecvByteBufAllocator {
    private final RecvByteBufAllocator delegate;
    private final IntSupplier maxBytes;
    private final IterationReadLimit iterationLimit;

    /**
     * Creates an allocator.
     *
     * @param maxBytes returns the largest size of the next buffer
     */
    public BoundedReceiveAllocator(RecvByteBufAllocator delegate, IntSupplier maxBytes) {
        this(delegate, maxBytes, new IterationReadLimit());
    }

    /** Creates an allocator with another limit for each iteration. */
    BoundedReceiveAllocator(RecvByteBufAllocator delegate, IntSupplier maxBytes, IterationReadLimit iterationLimit) {
        this.delegate = delegate;
        this.maxBytes = maxBytes;
        this.iterationLimit = iterationLimit;
    }

    /**
     * Returns whether the last read of a channel has found bytes, so that more may be unread. Reads go on until nothing
     * is left, unless they are bounded or suspended.
     */
    public static boolean mayHaveUnreadBytes(Channel channel) {
        return channel.unsafe().recvBufAllocHandle().lastBytesRead() > 0;
    }

    @Override
    public Handle newHandle() {
        return new BoundedHandle(delegate.newHandle(), maxBytes, iterationLimit);
    }

    /** Bounds the size of another handle's buffers, and the number of bytes that they receive in an iteration. */
    private static final class BoundedHandle extends DelegatingHandle {
        private final IntSupplier maxBytes;
        private final IterationReadLimit iterationLimit;
        private long bytesInIteration;

        BoundedHandle(Handle handle, IntSupplier maxBytes, IterationReadLimit iterationLimit) {
            super(handle);
            this.maxBytes = maxBytes;
            this.iterationLimit = iterationLimit;
        }

        @Override
        public void reset(ChannelConfig config) {
            bytesInIteration = 0;
            super.reset(config);
        }

        @Override
        public void lastBytesRead(int bytes) {
            bytesInIteration += Math.max(0, bytes);
            super.lastBytesRead(bytes);
        }

        @Override
        public boolean continueReading() {
            return super.continueReading() && bytesInIteration < iterationLimit.maxBytes();
        }

        @Override
        public ByteBuf allocate(ByteBufAllocator allocator) {
            return allocator.ioBuffer(guess());
        }

        @Override
        public int guess() {
            return Math.min(super.guess(), Math.min(maxBytes.getAsInt(), iterationLimit.maxBytes()));
        }
    }
}
