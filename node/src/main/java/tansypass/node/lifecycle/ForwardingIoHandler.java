package tansypass.node.lifecycle;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoRegistration;

/**
 * A decorator of Netty's {@link IoHandler} that forwards all calls to another one, for subclasses that change some of
 * them. Used on the event loop's thread, but for {@link #wakeup}.
 */
abstract class ForwardingIoHandler implements IoHandler {
    private final IoHandler delegate;

    /** Wraps a handler, which does the polling. */
    ForwardingIoHandler(IoHandler delegate) {
        this.delegate = delegate;
    }

    @Override
    public int run(IoHandlerContext loop) {
        return delegate.run(loop);
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

    /** The context of one run that forwards all calls to the event loop's own. */
    abstract static class ForwardingContext implements IoHandlerContext {
        private final IoHandlerContext loop;

        /** Wraps the context of the event loop. */
        ForwardingContext(IoHandlerContext loop) {
            this.loop = loop;
        }

        @Override
        public boolean canBlock() {
            return loop.canBlock();
        }

        @Override
        public long delayNanos(long nowNs) {
            return loop.delayNanos(nowNs);
        }

        @Override
        public long deadlineNanos() {
            return loop.deadlineNanos();
        }

        @Override
        public void reportActiveIoTime(long ns) {
            loop.reportActiveIoTime(ns);
        }

        @Override
        public boolean shouldReportActiveIoTime() {
            return loop.shouldReportActiveIoTime();
        }
    }
}
