package tansypass.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Client-side throttling: a node whose responses are mostly late sends fewer attempts until they are in time again. */
class ClientThrottlingTest {
    private static final long IN_TIME_US = 50_000;
    private static final long LATE_US = 300_000;

    private final BalancerHarness node = new BalancerHarness().withServers(4);

    /**
     * Runs requests one after the other, and returns the number sent. Of each five sent, {@code inTimeOfFive} are in
     * time.
     */
    private int runRequests(int requests, int inTimeOfFive) {
        int sent = 0;
        for (int i = 0; i < requests; i++) {
            long id = node.submitRequest(BalancerHarness.IDEMPOTENT);
            if (node.lastAttempt(id) == null) {
                node.advance(LATE_US);
            } else {
                sent++;
                node.endAttempt(id, AttemptResult.OK, sent % 5 < inTimeOfFive ? IN_TIME_US : LATE_US);
            }
        }
        return sent;
    }

    @Test
    void throttlesWhenTwoOfFiveAreInTime() {
        runRequests(60, 2);
        assertTrue(runRequests(200, 2) < 100);
    }

    @Test
    void doesNotThrottleWhenThreeOfFiveAreInTime() {
        runRequests(60, 3);
        assertEquals(200, runRequests(200, 3));
    }

    @Test
    void stopsThrottlingOnceResponsesAreInTime() {
        runRequests(40, 5);
        runRequests(200, 0);
        assertTrue(runRequests(100, 0) < 20);
        // The throttled node may send two attempts for each response in time, so that it recovers.
        runRequests(300, 5);
        assertEquals(100, runRequests(100, 5));
    }
}
