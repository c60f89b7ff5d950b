package tansypass.node.lifecycle;

import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.TimeUnit;

/**
 * Rounds the time until an event loop's next timer up to whole milliseconds. A selector waits in whole milliseconds,
 * and Netty rounds to the nearest: with less than half a millisecond left, the loop would spin until the timer is due.
 */
public final class DelayRoundingIoHandler extends ForwardingIoHandler {
    private static final long MILLISECOND_NS = TimeUnit.MILLISECONDS.toNanos(1);

    /** Wraps a handler, which does the waiting. */
    public DelayRoundingIoHandler(IoHandler delegate) {
        super(delegate);
    }

    /** Returns a factory for handlers based on a selector, whose polls are timed for {@link ArrivalEstimator}. */
    public static IoHandlerFactory newFactory() {
        return wrap(PollTimingIoHandler.wrap(NioIoHandler.newFactory()));
    }

    static IoHandlerFactory wrap(IoHandlerFactory delegate) {
        return executor -> new DelayRoundingIoHandler(delegate.newHandler(executor));
    }

    @Override
    public int run(IoHandlerContext loop) {
        return super.run(new RoundingContext(loop));
    }

    /** Rounds the delay of the next timer up. */
    private static final class RoundingContext extends ForwardingContext {
        RoundingContext(IoHandlerContext loop) {
            super(loop);
        }

        @Override
        public long delayNanos(long nowNs) {
            long delayNs = super.delayNanos(nowNs);
            long remainder = delayNs % MILLISECOND_NS;
            return delayNs <= 0 || remainder == 0 || delayNs > Long.MAX_VALUE - MILLISECOND_NS
                    ? delayNs
                    : delayNs + MILLISECOND_NS - remainder;
        }
    }
}
