package tansypass.node;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The metric of the time for which the event loop neither reads nor writes. */
@Timeout(120)
class EventLoopBusyTest extends RunningNodeTestBase {
    private static final long BLOCKED_MS = 300;

    @Test
    void reportsLongestTimeForWhichEventLoopWasBlocked() throws Exception {
        node = new RunningNode(Fixture.createConfig(discovery.peer, server));
        CountDownLatch release = node.blockEventLoop();
        long untilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(BLOCKED_MS);
        while (System.nanoTime() < untilNs) {
            Thread.onSpinWait();
        }
        release.countDown();
        // The second task runs only after a poll.
        node.loop.submit(() -> {}).get();
        node.loop.schedule(() -> {}, 1, TimeUnit.MILLISECONDS).get();
        long busyMs = node.readMetric("event_loop_busy_max_ms");
        assertTrue(busyMs >= BLOCKED_MS, "reported " + busyMs + " ms");
        assertTrue(node.readMetric("direct_memory_bytes") > 0);
        assertTrue(node.readMetric("direct_memory_limit_bytes") > 0);
    }
}
