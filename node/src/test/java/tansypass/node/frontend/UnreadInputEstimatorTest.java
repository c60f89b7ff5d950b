package tansypass.node.frontend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Guards against a deadline that starts only when the last byte of a request is read, seconds after its client sent it.
 */
class UnreadInputEstimatorTest {
    private static final long NOW = 1_000;
    private static final long STEP_BYTES = 100_000;

    private final UnreadInputEstimator estimator = new UnreadInputEstimator();

    @Test
    void lastByteMayHaveWaitedSinceReadingWasSuspended() {
        assertEquals(NOW, estimator.earliestArrivalNs(0, NOW));
        estimator.onSuspended(STEP_BYTES, 10);
        estimator.onSuspended(STEP_BYTES, 20);
        estimator.onReceived(2 * STEP_BYTES, 30);
        assertEquals(10, estimator.earliestArrivalNs(2 * STEP_BYTES, NOW));
    }

    @Test
    void lastByteHasNotWaitedIfNothingWasLeftUnread() {
        estimator.onSuspended(STEP_BYTES, 10);
        estimator.onDrained();
        assertEquals(NOW, estimator.earliestArrivalNs(2 * STEP_BYTES, NOW));
    }

    @Test
    void lastByteHasNotWaitedLongerThanBuffersCouldHoldTheRest() {
        estimator.onSuspended(0, 0);
        for (long received = STEP_BYTES; received <= 100 * STEP_BYTES; received += STEP_BYTES) {
            estimator.onReceived(received, received);
        }
        long earliest = estimator.earliestArrivalNs(100 * STEP_BYTES, Long.MAX_VALUE);
        long expected = 100 * STEP_BYTES - UnreadInputEstimator.MAX_UNREAD_BYTES;
        assertTrue(Math.abs(expected - earliest) <= STEP_BYTES, "since " + earliest + ", not " + expected);
    }

    @Test
    void longRequestCanNotBeCompleteBeforeItsRestFitsIntoBuffers() {
        estimator.onSuspended(STEP_BYTES, 10);
        assertEquals(NOW, estimator.earliestArrivalNs(32 << 20, NOW));
    }
}
