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

    /** The first poll ends at 10 ms. The event loop then runs tasks and polls again, blocking if it has a timeout. */
    @ParameterizedTest
    @CsvSource({
        "400, -1, 0, 10", // non-blocking poll, because tasks wait: events may have come since the last poll
        "400, 50, 0, 10", // the same for a poll that may block and finds events at once
        "400, -1, 30, 10", // the thread does not run for a while within a non-blocking poll
        "400, 50, 20, 430", // the poll waits until events arrive
        "0, 50, 50, 60", // the poll waits until its timeout
        "0, 50, 350, 60", // the thread does not run again until after the timeout
    })
    void estimatesEarliestArrival(int betweenPollsMs, int timeoutMs, int pollMs, int expectedMs) {
        ArrivalEstimator estimator = new ArrivalEstimator(() -> TimeUnit.MILLISECONDS.toNanos(nowMs));
        WaitingIoHandler delegate = new WaitingIoHandler();
        PollTimingIoHandler handler = new PollTimingIoHandler(delegate, estimator);
        handler.run(new StubIoHandler.StubContext(false, 0));
        nowMs += betweenPollsMs;
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
