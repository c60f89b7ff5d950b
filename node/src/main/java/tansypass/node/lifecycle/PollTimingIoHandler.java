package tansypass.node.lifecycle;

import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;

/** Reports the polls of an event loop to its {@link ArrivalEstimator}. Used on that loop's thread only. */
final class PollTimingIoHandler extends ForwardingIoHandler {
    private final ArrivalEstimator estimator;

    /** Wraps a handler, which does the polling. */
    PollTimingIoHandler(IoHandler delegate, ArrivalEstimator estimator) {
        super(delegate);
        this.estimator = estimator;
    }

    /** Wraps a factory's handlers. */
    static IoHandlerFactory wrap(IoHandlerFactory delegate) {
        return executor ->
                new PollTimingIoHandler(delegate.newHandler(executor), new ArrivalEstimator(System::nanoTime));
    }

    @Override
    public int run(IoHandlerContext loop) {
        estimator.onPollStart();
        return super.run(new TimingContext(loop, estimator));
    }

    @Override
    public void initialize() {
        estimator.bindToThread();
        super.initialize();
    }

    /** Reports what the handler requests from the loop: the timeout of its poll, then what to do after the poll. */
    private static final class TimingContext extends ForwardingContext {
        private final ArrivalEstimator estimator;

        TimingContext(IoHandlerContext loop, ArrivalEstimator estimator) {
            super(loop);
            this.estimator = estimator;
        }

        @Override
        public long delayNanos(long nowNs) {
            long delayNs = super.delayNanos(nowNs);
            estimator.onPollTimeout(delayNs);
            return delayNs;
        }

        /** NioIoHandler calls this once in each run, between its poll and the processing of what that found. */
        @Override
        public boolean shouldReportActiveIoTime() {
            estimator.onPollEnd();
            return super.shouldReportActiveIoTime();
        }
    }
}
