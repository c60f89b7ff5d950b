package tansypass.node.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The growth, maximum and jitter of the delays. */
class ExponentialBackoffTest {

    @Test
    void delaysDoubleUpToTheMaximumAndStartOverAfterReset() {
        ExponentialBackoff backoff = new ExponentialBackoff(7, 100, 2_000);
        for (int round = 0; round < 2; round++) {
            for (long currentDelay : new long[] {100, 200, 400, 800, 1_600, 2_000, 2_000, 2_000}) {
                long delay = backoff.nextDelayMs();
                assertTrue(
                        delay >= currentDelay / 2 && delay <= currentDelay / 2 + currentDelay,
                        delay + " of " + currentDelay);
            }
            backoff.reset();
        }
    }

    @Test
    void delaysDifferBetweenSeeds() {
        Set<Long> delays = new HashSet<>();
        for (int node = 0; node < 50; node++) {
            delays.add(new ExponentialBackoff(node, 1_000, 1_000).nextDelayMs());
        }
        assertTrue(delays.size() > 40, "only " + delays.size() + " different delays for 50 nodes");
        assertEquals(
                new ExponentialBackoff(3, 1_000, 1_000).nextDelayMs(),
                new ExponentialBackoff(3, 1_000, 1_000).nextDelayMs());
    }
}
