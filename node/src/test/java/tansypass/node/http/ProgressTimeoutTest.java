package tansypass.node.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ProgressTimeoutTest {
    private static final long TIMEOUT_MS = 10_000;

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private long nowNs;
    private boolean progressing;
    private boolean stopping;
    private int timeouts;
    private final ProgressTimeout timeout =
            new ProgressTimeout(channel.eventLoop(), this::checkProgress, () -> timeouts++, () -> nowNs);

    private boolean checkProgress() {
        if (stopping) {
            timeout.stop();
        }
        return progressing;
    }

    @AfterEach
    void closeChannel() {
        channel.finishAndReleaseAll();
    }

    private void advanceMs(long ms) {
        for (long passed = 0; passed < ms; passed += 100) {
            nowNs += TimeUnit.MILLISECONDS.toNanos(100);
            channel.advanceTimeBy(100, TimeUnit.MILLISECONDS);
            channel.runScheduledPendingTasks();
        }
    }

    @Test
    void runsActionOnceWithoutProgress() {
        timeout.start(TIMEOUT_MS);
        advanceMs(TIMEOUT_MS - 100);
        assertEquals(0, timeouts);
        advanceMs(2 * TIMEOUT_MS);
        assertEquals(1, timeouts);
    }

    @Test
    void progressThatOnlyTheCheckFindsRestartsTimeout() {
        timeout.start(TIMEOUT_MS);
        progressing = true;
        advanceMs(3 * TIMEOUT_MS);
        assertEquals(0, timeouts);
        progressing = false;
        advanceMs(TIMEOUT_MS);
        assertEquals(1, timeouts);
    }

    @Test
    void checkThatStopsTimeoutEndsIt() {
        timeout.start(TIMEOUT_MS);
        stopping = true;
        advanceMs(3 * TIMEOUT_MS);
        assertEquals(0, timeouts);
    }
}
