package tansypass.node.lifecycle;

import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.TimeUnit;

/**
 * Rounds the time until an event loop's next timer up to whole milliseconds. A selector waits for whole milliseconds,
 * and Netty rounds to the nearest. With less than half a millisecond left, the loop would spin until the timer is
 * due.
 */
public final class DelayRoundingIoHandler extends ForwardingIoHandler {
    private static final long NS_PER_MS = TimeUnit.MILLISECONDS.toNanos(1);

    /** Wraps the handler that does the polling. */
    public DelayRoundingIoHandler(IoHandler delegate) {
        super(delegate);
    }

    /** Returns a factory of selector-based handlers, whose polls are timed for {@link ArrivalEstimator}. */
    public static IoHandlerFactory newFactory() {
        return wrap(PollTimingIoHandler.wrap(NioIoHandler.newFactory()));
    }

    static IoHandlerFactory wrap(IoHandlerFactory delegate) {
        return executor -> new DelayRoundingIoHandler(delegate.newHandler(executor));
    }

    @Override
    public int run(IoHandlerContext context) {
        return super.run(new RoundingContext(context));
    }

    /** Rounds the delay of the next timer up. */
    private static final class RoundingContext extends ForwardingContext {
        RoundingContext(IoHandlerContext context) {
            super(context);
        }

        @Override
        public long delayNanos(long nowNs) {
            long delayNs = super.delayNanos(nowNs);
            long remainderNs = delayNs % NS_PER_MS;
            return delayNs <= 0 || remainderNs == 0 || delayNs > Long.MAX_VALUE - NS_PER_MS
                    ? delayNs
                    : delayNs + NS_PER_MS - remainderNs;
        }
    }
}
