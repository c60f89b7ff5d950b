package tansypass.testbed.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import tansypass.cluster.membership.Member;
import tansypass.cluster.membership.MemberState;
import tansypass.cluster.membership.MembershipCounters;
import tansypass.cluster.membership.MembershipView;

/** Tests members that join, leave or restart, and processes that have the same name. */
class MembershipJoinTest extends MembershipTestCase {
    @Test
    void allViewsRemoveLeavingMemberPermanently() {
        SimulatedCluster cluster = startCluster(2, 50);
        cluster.leave(9);
        long elapsedUs = cluster.runUntilConverged(10 * SECOND_US);
        assertTrue(elapsedUs >= 0, "node-9 is still present after 10 s");
        cluster.run(120 * SECOND_US);
        assertEquals(MemberState.LEFT, state(cluster, 30, "node-9"));
        assertEquals(0, failureCount(cluster, 50));
        assertNoAnomalies();
    }

    @Test
    void convergesAfterRollingRestartWithinTenSeconds() {
        SimulatedCluster cluster = startCluster(8, 40);
        for (int i = 0; i < 40; i++) {
            cluster.kill(i);
            cluster.start(i, List.of(0, 1, 2), 0, "d");
            cluster.run(SECOND_US / 4);
        }
        assertTrue(cluster.runUntilConverged(60 * SECOND_US) >= 0);
        assertEquals(40, cluster.view(0).members().size());
        assertNoAnomalies();
    }

    @Test
    void restartWithClockBehindGetsLaterGeneration() {
        SimulatedCluster cluster = startCluster(9, 10);
        for (int i = 3; i < 6; i++) {
            cluster.kill(i);
            cluster.start(i, List.of(0, 1), -3_600_000, "d");
        }
        assertTrue(cluster.runUntilConverged(60 * SECOND_US) >= 0);
        assertTrue(
                cluster.swimProtocol(4).counters().get(MembershipCounters.Name.NAME_CONFLICTS) > 0,
                "node-4 counted no name conflict");
        assertNoAnomalies();
    }

    @Test
    void laterProcessWinsNameConflict() {
        SimulatedCluster cluster = startCluster(10, 10);
        int namesake = cluster.add("node-4");
        cluster.start(namesake, List.of(0), 0, "d");
        cluster.run(60 * SECOND_US);
        assertTrue(cluster.swimProtocol(4).isSuperseded());
        assertFalse(cluster.swimProtocol(namesake).isSuperseded());
        long nonce = cluster.swimProtocol(namesake).self().nonce();
        for (int i : new int[] {0, 5, namesake}) {
            assertTrue(
                    cluster.view(i).members().stream()
                            .map(Member::identity)
                            .anyMatch(identity -> identity.name().equals("node-4") && identity.nonce() == nonce),
                    "later process is missing in the view of member " + i);
        }
        // After the namesake is killed, the superseded process takes the name back.
        cluster.kill(namesake);
        assertTrue(
                cluster.runUntilConverged(200 * SECOND_US) >= 0, "views are not equal after the namesake was killed");
        assertFalse(cluster.swimProtocol(4).isSuperseded());
        assertNoAnomalies();
    }

    @Test
    void twoHundredMembersJoinThroughOneSeed() {
        SimulatedCluster cluster = newCluster(12, 200);
        cluster.startAll();
        long elapsedUs = cluster.runUntilConverged(120 * SECOND_US);
        assertTrue(elapsedUs >= 0, "views are not equal after 120 s");
        assertEquals(0, failureCount(cluster, 200));
        assertNoAnomalies();
    }

    @Test
    void isolatedMemberJoinsWhenReachable() {
        SimulatedCluster cluster = newCluster(13, 5);
        cluster.setLinkFilter((from, to) -> from != 4 && to != 4);
        cluster.startAll();
        cluster.run(100 * SECOND_US);
        MembershipView isolatedView = cluster.view(4);
        assertFalse(isolatedView.joined());
        assertEquals(1, isolatedView.members().size());
        cluster.setLinkFilter((from, to) -> true);
        assertTrue(cluster.runUntilConverged(60 * SECOND_US) >= 0);
        assertTrue(cluster.view(4).joined());
        assertNoAnomalies();
    }
}
