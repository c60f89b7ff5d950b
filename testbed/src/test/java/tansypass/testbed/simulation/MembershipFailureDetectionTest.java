package tansypass.testbed.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import tansypass.cluster.membership.Member;
import tansypass.cluster.membership.MemberState;
import tansypass.cluster.membership.Role;

/** Tests that dead members are declared failed, and that members with pauses or faulty links are not. */
class MembershipFailureDetectionTest extends MembershipTestCase {
    /** Returns the longest suspicion timeout in a cluster of this size, in microseconds. */
    private static long maxSuspicionUs(int memberCount) {
        return Math.round(SETTINGS.maxSuspicionMultiplier()
                * SETTINGS.suspicionMultiplier()
                * Math.max(1, Math.log10(memberCount))
                * SECOND_US);
    }

    @Test
    void allViewsDetectFailureWithinSuspicionTimeout() {
        SimulatedCluster cluster = startCluster(1, 50);
        cluster.kill(7);
        long elapsedUs = cluster.runUntilConverged(50 * SECOND_US + maxSuspicionUs(50) + 8 * SECOND_US);
        assertTrue(elapsedUs >= 0, "node-7 is still present in a view");
        assertEquals(MemberState.FAILED, state(cluster, 0, "node-7"));
        assertEquals(16, cluster.view(0).presentByZone(Role.NODE).get("b"), "present members in the zone of node-7");
        assertNoAnomalies();
    }

    @Test
    void noFalsePositivesWithThirtyPercentLoss() {
        SimulatedCluster cluster = startCluster(3, 40);
        cluster.setLossRate(0.3);
        cluster.run(300 * SECOND_US);
        assertEquals(0, failureCount(cluster, 40));
        cluster.setLossRate(0);
        assertTrue(cluster.runUntilConverged(60 * SECOND_US) >= 0);
        assertNoAnomalies();
    }

    @Test
    void indirectProbesPreventFalsePositivesOnFaultyLinks() {
        SimulatedCluster cluster = startCluster(6, 20);
        cluster.setLinkFilter((from, to) -> from != 3 || to != 4);
        cluster.run(200 * SECOND_US);
        cluster.setLinkFilter((from, to) -> (from + to) % 7 != 0 || cluster.nowUs() / SECOND_US % 2 == 0);
        cluster.run(200 * SECOND_US);
        assertEquals(0, failureCount(cluster, 20));
        assertNoAnomalies();
    }

    @Test
    void shortPauseIsToleratedAndLongPauseRecovers() {
        SimulatedCluster cluster = startCluster(7, 50);
        IntStream.range(10, 15).forEach(i -> cluster.setPaused(i, true));
        cluster.run(3 * SECOND_US);
        IntStream.range(10, 15).forEach(i -> cluster.setPaused(i, false));
        assertTrue(cluster.runUntilConverged(30 * SECOND_US) >= 0);
        assertEquals(0, failureCount(cluster, 50));
        IntStream.range(10, 15).forEach(i -> cluster.setPaused(i, true));
        cluster.run(30 * SECOND_US);
        assertTrue(failureCount(cluster, 50) > 0, "a pause of 30 s was not detected");
        IntStream.range(10, 15).forEach(i -> cluster.setPaused(i, false));
        assertTrue(cluster.runUntilConverged(60 * SECOND_US) >= 0, "resumed members are not present in all views");
        assertEquals(
                50, cluster.view(0).members().stream().filter(Member::isPresent).count());
        assertNoAnomalies();
    }

    @Test
    void slowMemberIsNotDeclaredFailed() {
        SimulatedCluster cluster = startCluster(11, 20);
        // The member runs for only 100 ms of every two seconds.
        for (int i = 0; i < 100; i++) {
            cluster.setPaused(5, true);
            cluster.run(1_900_000);
            cluster.setPaused(5, false);
            cluster.run(100_000);
        }
        assertEquals(0, failureCount(cluster, 20));
        assertNoAnomalies();
    }
}
