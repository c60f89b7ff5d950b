package tansypass.node.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import java.util.function.IntSupplier;

/**
 * Allocates the receive buffers of a connection. Their size is chosen by another allocator, and is bounded by a limit
 * that depends on the memory in use. Used on one event loop only.
 */
@SuppressWarnings("deprecation") // Netty's type for a delegating handle and its successor have no common base.
public final class BoundedReceiveAllocator implements RecvByteBufAllocator {
    private final RecvByteBufAllocator delegate;
    private final IntSupplier maxBytes;

    /**
     * Creates an allocator.
     *
     * @param maxBytes returns the largest size of the next buffer
     */
    public BoundedReceiveAllocator(RecvByteBufAllocator delegate, IntSupplier maxBytes) {
        this.delegate = delegate;
        this.maxBytes = maxBytes;
    }

    @Override
    public Handle newHandle() {
        return new BoundedHandle(delegate.newHandle(), maxBytes);
    }

    /** Bounds the size of another handle's buffers. */
    private static final class BoundedHandle extends DelegatingHandle {
        private final IntSupplier maxBytes;

        BoundedHandle(Handle handle, IntSupplier maxBytes) {
            super(handle);
            this.maxBytes = maxBytes;
        }

        @Override
        public ByteBuf allocate(ByteBufAllocator allocator) {
            return allocator.ioBuffer(guess());
        }

        @Override
        public int guess() {
            return Math.min(super.guess(), maxBytes.getAsInt());
        }
    }
}
