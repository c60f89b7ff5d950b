package tansypass.node.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.DefaultSelectStrategyFactory;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.SelectStrategy;
import io.netty.channel.nio.NioIoHandler;
import java.nio.channels.spi.SelectorProvider;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import tansypass.node.TestEventLoopGroup;

/** Rounding of the delay until an event loop's next timer. */
@Timeout(60)
class DelayRoundingIoHandlerTest {
    private static final int TIMERS = 40;

    /** Records the delay that the context reports. */
    private static final class RecordingIoHandler extends StubIoHandler {
        private long delay;

        @Override
        public int run(IoHandlerContext loop) {
            delay = loop.delayNanos(0);
            return 0;
        }
    }

    @ParameterizedTest
    @CsvSource({
        "0, 0",
        "-5, -5",
        "1, 1000000",
        "499999, 1000000",
        "500000, 1000000",
        "1000000, 1000000",
        "1000001, 2000000",
        "50400000, 51000000",
        "9223372036854775807, 9223372036854775807"
    })
    void theDelayIsRoundedUpToWholeMilliseconds(long delay, long expected) {
        RecordingIoHandler delegate = new RecordingIoHandler();
        new DelayRoundingIoHandler(delegate).run(new StubIoHandler.StubContext(true, delay));
        assertEquals(expected, delegate.delay);
    }

    @Test
    void anEventLoopDoesNotSpinBeforeItsTimers() throws Exception {
        AtomicInteger rounds = new AtomicInteger();
        SelectStrategy usual = DefaultSelectStrategyFactory.INSTANCE.newSelectStrategy();
        IoHandlerFactory counting = NioIoHandler.newFactory(SelectorProvider.provider(), () -> (get, now) -> {
            rounds.incrementAndGet();
            return usual.calculateStrategy(get, now);
        });
        EventLoopGroup group = new TestEventLoopGroup(DelayRoundingIoHandler.wrap(counting));
        try {
            CountDownLatch remainingTimers = new CountDownLatch(TIMERS);
            EventLoop loop = group.next();
            loop.execute(() -> scheduleNext(loop, remainingTimers));
            assertTrue(remainingTimers.await(30, TimeUnit.SECONDS));
            assertTrue(rounds.get() <= 3 * TIMERS, rounds + " rounds for " + TIMERS + " timers");
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }

    /** Schedules one timer after another, none of them due at a whole millisecond. */
    private static void scheduleNext(EventLoop loop, CountDownLatch remainingTimers) {
        remainingTimers.countDown();
        if (remainingTimers.getCount() > 0) {
            loop.schedule(() -> scheduleNext(loop, remainingTimers), 3_400, TimeUnit.MICROSECONDS);
        }
    }
}
