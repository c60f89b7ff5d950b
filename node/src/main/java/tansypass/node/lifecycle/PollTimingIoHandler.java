package tansypass.node.lifecycle;

import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;

/**
 * Reports the polls of an event loop to its {@link ArrivalEstimator} and {@link EventLoopMonitor}. Used on that loop's
 * thread only.
 */
final class PollTimingIoHandler extends ForwardingIoHandler {
    private final ArrivalEstimator estimator;
    private final EventLoopMonitor monitor = new EventLoopMonitor();

    /** Wraps the handler that does the polling. */
    PollTimingIoHandler(IoHandler delegate, ArrivalEstimator estimator) {
        super(delegate);
        this.estimator = estimator;
    }

    /** Returns a factory that wraps the handlers of another factory. */
    static IoHandlerFactory wrap(IoHandlerFactory delegate) {
        return executor ->
                new PollTimingIoHandler(delegate.newHandler(executor), new ArrivalEstimator(System::nanoTime));
    }

    @Override
    public int run(IoHandlerContext context) {
        estimator.onPollStart();
        monitor.onPollStart(estimator.busyNs());
        return super.run(new TimingContext(context, estimator));
    }

    @Override
    public void initialize() {
        estimator.bindToThread();
        monitor.bindToThread();
        super.initialize();
    }

    /** Reports to the estimator when the handler calls its context: for the timeout of a poll, and after the poll. */
    private static final class TimingContext extends ForwardingContext {
        private final ArrivalEstimator estimator;

        TimingContext(IoHandlerContext context, ArrivalEstimator estimator) {
            super(context);
            this.estimator = estimator;
        }

        @Override
        public long delayNanos(long nowNs) {
            long delayNs = super.delayNanos(nowNs);
            estimator.onPollTimeout(delayNs);
            return delayNs;
        }

        /**
         * Reports the end of the poll. NioIoHandler calls this once in each run, after its poll and before it
         * processes the input.
         */
        @Override
        public boolean shouldReportActiveIoTime() {
            estimator.onPollEnd();
            return super.shouldReportActiveIoTime();
        }
    }
}
