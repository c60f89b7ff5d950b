package tansypass.node.lifecycle;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoRegistration;

/**
 * A decorator that forwards all calls to another {@link IoHandler}. Subclasses override some of them. Used on the
 * event loop's thread, except for {@link #wakeup}.
 */
abstract class ForwardingIoHandler implements IoHandler {
    private final IoHandler delegate;

    /** Wraps the handler that does the polling. */
    ForwardingIoHandler(IoHandler delegate) {
        this.delegate = delegate;
    }

    @Override
    public int run(IoHandlerContext context) {
        return delegate.run(context);
    }

    @Override
    public void initialize() {
        delegate.initialize();
    }

    @Override
    public void prepareToDestroy() {
        delegate.prepareToDestroy();
    }

    @Override
    public void destroy() {
        delegate.destroy();
    }

    @Override
    public IoRegistration register(IoHandle handle) throws Exception {
        return delegate.register(handle);
    }

    @Override
    public void wakeup() {
        delegate.wakeup();
    }

    @Override
    public boolean isCompatible(Class<? extends IoHandle> type) {
        return delegate.isCompatible(type);
    }

    /** A decorator that forwards all calls to the context of the event loop. */
    abstract static class ForwardingContext implements IoHandlerContext {
        private final IoHandlerContext context;

        /** Wraps the context of the event loop. */
        ForwardingContext(IoHandlerContext context) {
            this.context = context;
        }

        @Override
        public boolean canBlock() {
            return context.canBlock();
        }

        @Override
        public long delayNanos(long nowNs) {
            return context.delayNanos(nowNs);
        }

        @Override
        public long deadlineNanos() {
            return context.deadlineNanos();
        }

        @Override
        public void reportActiveIoTime(long ns) {
            context.reportActiveIoTime(ns);
        }

        @Override
        public boolean shouldReportActiveIoTime() {
            return context.shouldReportActiveIoTime();
        }
    }
}
