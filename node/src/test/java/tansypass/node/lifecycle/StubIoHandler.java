package tansypass.node.lifecycle;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoRegistration;

/** A handler without channels, whose subclass defines a run of the event loop. */
abstract class StubIoHandler implements IoHandler {
    @Override
    public IoRegistration register(IoHandle handle) {
        throw new IllegalStateException("the stub has no channels");
    }

    @Override
    public void wakeup() {}

    @Override
    public boolean isCompatible(Class<? extends IoHandle> type) {
        return false;
    }

    /** The context of an event loop whose next timer is due after a fixed delay. */
    record StubContext(boolean canBlock, long delayNanos) implements IoHandlerContext {
        @Override
        public long delayNanos(long nowNs) {
            return delayNanos;
        }

        @Override
        public long deadlineNanos() {
            return delayNanos;
        }
    }
}
