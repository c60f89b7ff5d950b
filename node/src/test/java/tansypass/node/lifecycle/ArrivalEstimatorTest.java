package tansypass.node.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.IoHandlerContext;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** When what a poll finds may have arrived, on a clock that the test moves. */
class ArrivalEstimatorTest {
    private static final int FIRST_POLL_END_MS = 10;

    private long nowMs = FIRST_POLL_END_MS;

    /** Polls for some time, like NioIoHandler: asks for the timeout, waits, and asks for the report. */
    private final class WaitingIoHandler extends StubIoHandler {
        private long waitMs;

        @Override
        public int run(IoHandlerContext loop) {
            if (loop.canBlock()) {
                loop.delayNanos(0);
            }
            nowMs += waitMs;
            loop.shouldReportActiveIoTime();
            return 0;
        }
    }

    /** One poll ends at 10 ms; then the loop has a turn, and polls again, blocking if it has a timeout. */
    @ParameterizedTest
    @CsvSource({
        "400, -1, 0, 10", // tasks wait: found at once, since any time in the turn
        "400, 50, 0, 10", // found at once although it may block
        "400, -1, 30, 10", // kept from running within a poll that does not wait
        "400, 50, 20, 430", // waited, and woken by what it found
        "0, 50, 50, 60", // waited to the end
        "0, 50, 350, 60", // kept from running past the timeout
    })
    void estimate(int turnMs, int timeoutMs, int pollMs, int expectedMs) {
        ArrivalEstimator estimator = new ArrivalEstimator(() -> TimeUnit.MILLISECONDS.toNanos(nowMs));
        WaitingIoHandler delegate = new WaitingIoHandler();
        PollTimingIoHandler handler = new PollTimingIoHandler(delegate, estimator);
        handler.run(new StubIoHandler.StubContext(false, 0));
        nowMs += turnMs;
        delegate.waitMs = pollMs;
        handler.run(new StubIoHandler.StubContext(timeoutMs >= 0, TimeUnit.MILLISECONDS.toNanos(timeoutMs)));
        nowMs += 5;
        assertEquals(expectedMs, TimeUnit.NANOSECONDS.toMillis(estimator.earliestNs()));
    }

    /** A connection that was established at 100 ms at the earliest and accepted at 400 ms. */
    @ParameterizedTest
    @CsvSource({
        "100, 100", // were there before it was accepted
        "400, 100",
        "403, 103", // come along with it
        "450, 150",
        "451, 451", // sent later
        "5000, 5000",
    })
    void firstBytesCountFromTheirConnectionsWait(int bytesMs, int expectedMs) {
        ReusePortServerChannel.AcceptQueueWait wait = new ReusePortServerChannel.AcceptQueueWait(
                TimeUnit.MILLISECONDS.toNanos(100), TimeUnit.MILLISECONDS.toNanos(400));
        long countedNs = wait.firstBytesNs(TimeUnit.MILLISECONDS.toNanos(bytesMs));
        assertEquals(expectedMs, TimeUnit.NANOSECONDS.toMillis(countedNs));
    }
}
