package tansypass.testbed.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.junit.jupiter.api.Test;
import tansypass.cluster.membership.Member;
import tansypass.cluster.membership.MemberState;
import tansypass.cluster.membership.MembershipCounters;
import tansypass.cluster.membership.Message;
import tansypass.cluster.membership.MessageCodec;
import tansypass.cluster.runtime.RandomStreams;

/** Tests datagrams that are malformed or from another deployment, and forged updates that no member sent. */
class MembershipInputTest extends MembershipTestCase {
    @Test
    void rejectsAndCountsMembersOfAnotherDeployment() {
        SimulatedCluster cluster = startCluster(14, 5);
        int foreignMember = cluster.add("stranger");
        cluster.start(foreignMember, List.of(0), 0, "other");
        cluster.run(100 * SECOND_US);
        assertTrue(cluster.swimProtocol(0).counters().get(MembershipCounters.Name.DROPPED_DEPLOYMENT) > 0);
        assertEquals(1, cluster.view(foreignMember).members().size());
        assertEquals(5, cluster.view(0).members().size());
        assertNoAnomalies();
    }

    @Test
    void dropsAndCountsMalformedDatagrams() {
        SimulatedCluster cluster = startCluster(15, 10);
        UniformRandomProvider random = RandomStreams.of(15, "garbage");
        byte[] validPing = new MessageCodec()
                .encode(new Message.Ping(new Message.Envelope("d", 1, "node-1", 1, List.of()), 7, "node-0"));
        long before = cluster.swimProtocol(0).counters().get(MembershipCounters.Name.DROPPED_MALFORMED);
        int malformedCount = 0;
        for (int i = 0; i < 2_000; i++) {
            byte[] randomBytes = new byte[random.nextInt(1_600)];
            random.nextBytes(randomBytes);
            cluster.injectDatagram(0, randomBytes);
            malformedCount++;
            byte[] truncatedPing = Arrays.copyOf(validPing, random.nextInt(validPing.length - 1));
            cluster.injectDatagram(0, truncatedPing);
            malformedCount++;
            cluster.injectDatagram(0, validPing);
        }
        assertEquals(
                malformedCount,
                cluster.swimProtocol(0).counters().get(MembershipCounters.Name.DROPPED_MALFORMED) - before);
        cluster.run(60 * SECOND_US);
        assertTrue(cluster.hasConverged());
        assertTrue(cluster.swimProtocol(0).pendingUpdates() <= 10);
        assertNoAnomalies();
    }

    @Test
    void viewSizeIsBoundedUnderForgedUpdates() {
        SimulatedCluster cluster = startCluster(16, 3);
        for (int i = 0; i < 6_000; i++) {
            cluster.injectDatagram(0, forged("node-1", "fake-" + i, 1, MemberState.ALIVE, 0));
        }
        assertTrue(cluster.view(0).members().size() <= SETTINGS.maxMembers());
        assertTrue(cluster.swimProtocol(0).counters().get(MembershipCounters.Name.DROPPED_FULL) > 0);
    }

    @Test
    void failedMemberReturnsOnlyWithHigherIncarnation() {
        SimulatedCluster cluster = startCluster(18, 5);
        Member victim = cluster.view(0).members().get(3);
        cluster.kill(3);
        assertTrue(cluster.runUntilConverged(200 * SECOND_US) >= 0);
        assertNoAnomalies();
        byte[] outdatedUpdate = new MessageCodec()
                .encode(new Message.Gossip(new Message.Envelope("d", 1, "node-1", 1, List.of(victim))));
        cluster.injectDatagram(0, outdatedUpdate);
        cluster.run(SECOND_US);
        assertEquals(MemberState.FAILED, state(cluster, 0, "node-3"));
        assertNoAnomalies();
        // The same update with a higher incarnation, which only the process itself could have sent.
        Member refuted = new Member(victim.identity(), MemberState.ALIVE, 99, "");
        cluster.injectDatagram(
                0,
                new MessageCodec()
                        .encode(new Message.Gossip(new Message.Envelope("d", 1, "node-1", 1, List.of(refuted)))));
        assertEquals(MemberState.ALIVE, state(cluster, 0, "node-3"));
    }
}
