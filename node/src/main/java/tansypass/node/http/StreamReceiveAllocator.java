package tansypass.node.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;

/**
 * Allocates the receive buffers of a connection whose messages may be streamed. Their size follows the connection's
 * previous reads, and is bounded by {@link StreamMemoryLimiter#maxReadBytes}. Used on one event loop only.
 */
@SuppressWarnings("deprecation") // Netty's type for a delegating handle and its successor have no common base.
public final class StreamReceiveAllocator implements RecvByteBufAllocator {
    private final RecvByteBufAllocator adaptive = new AdaptiveRecvByteBufAllocator(
            ConnectionBufferLimits.MIN_READ_BYTES,
            ConnectionBufferLimits.INITIAL_READ_BYTES,
            ConnectionBufferLimits.MAX_READ_BYTES);
    private final StreamMemoryLimiter limiter;

    /** Creates an allocator whose buffers are bounded by the limiter. */
    public StreamReceiveAllocator(StreamMemoryLimiter limiter) {
        this.limiter = limiter;
    }

    @Override
    public Handle newHandle() {
        return new BoundedHandle(adaptive.newHandle(), limiter);
    }

    /** Bounds the size of another handle's buffers. */
    private static final class BoundedHandle extends DelegatingHandle {
        private final StreamMemoryLimiter limiter;

        BoundedHandle(Handle handle, StreamMemoryLimiter limiter) {
            super(handle);
            this.limiter = limiter;
        }

        @Override
        public ByteBuf allocate(ByteBufAllocator allocator) {
            return allocator.ioBuffer(guess());
        }

        @Override
        public int guess() {
            return Math.min(super.guess(), limiter.maxReadBytes());
        }
    }
}
