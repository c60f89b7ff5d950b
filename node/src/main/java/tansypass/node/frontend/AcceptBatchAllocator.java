package tansypass.node.frontend;

import io.netty.channel.ChannelConfig;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import java.util.function.IntSupplier;

/**
 * Bounds how many connections a listening channel accepts in an iteration of the event loop: as many as there is
 * capacity for. With a fixed small number, a crowd would wait in the accept queue for as many iterations. Used on one
 * event loop only.
 */
@SuppressWarnings("deprecation") // Netty's type for a delegating handle and its successor have no common base.
final class AcceptBatchAllocator implements RecvByteBufAllocator {
    /** Accepted even without capacity: idle connections are closed for them, see {@link ConnectionAcceptor}. */
    static final int MIN_BATCH = 16;

    private final RecvByteBufAllocator delegate;
    private final IntSupplier capacity;

    /**
     * Creates an allocator.
     *
     * @param capacity returns the number of connections for which there is capacity
     */
    AcceptBatchAllocator(int maxBatch, IntSupplier capacity) {
        this.capacity = capacity;
        delegate = new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(maxBatch);
    }

    @Override
    public Handle newHandle() {
        return new BatchHandle(delegate.newHandle(), capacity);
    }

    /** Bounds the batch of another handle. */
    private static final class BatchHandle extends DelegatingHandle {
        private final IntSupplier capacity;
        private int maxBatch;
        private int accepted;

        BatchHandle(Handle handle, IntSupplier capacity) {
            super(handle);
            this.capacity = capacity;
        }

        @Override
        public void reset(ChannelConfig config) {
            accepted = 0;
            maxBatch = Math.max(MIN_BATCH, capacity.getAsInt());
            super.reset(config);
        }

        @Override
        public boolean continueReading() {
            accepted++;
            return accepted < maxBatch && super.continueReading();
        }
    }
}
