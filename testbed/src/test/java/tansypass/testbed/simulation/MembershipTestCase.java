package tansypass.testbed.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import tansypass.cluster.membership.Identity;
import tansypass.cluster.membership.Member;
import tansypass.cluster.membership.MemberState;
import tansypass.cluster.membership.MembershipCounters;
import tansypass.cluster.membership.MembershipSettings;
import tansypass.cluster.membership.Message;
import tansypass.cluster.membership.MessageCodec;
import tansypass.cluster.membership.Role;

/**
 * Clusters of the membership protocol in virtual time, whose views are recorded; docs/membership.md has the guarantees.
 */
abstract class MembershipTestCase {
    static final long SECOND_US = 1_000_000;
    static final MembershipSettings SETTINGS = MembershipSettings.DEFAULT;

    private final List<String> anomalies = new ArrayList<>();

    /** Creates a cluster whose views are recorded; no member is started yet. */
    SimulatedCluster newCluster(long seed, int count) {
        SimulatedCluster cluster = new SimulatedCluster(seed, SETTINGS, count, List.of("a", "b", "c"));
        cluster.setViewListener(new ViewAnomalyRecorder(cluster, anomalies));
        return cluster;
    }

    /** Starts all members of a new cluster and waits until their views are equal. */
    SimulatedCluster startCluster(long seed, int count) {
        SimulatedCluster cluster = newCluster(seed, count);
        cluster.startAll();
        assertTrue(cluster.runUntilConverged(60 * SECOND_US) >= 0, "not converged after the start");
        return cluster;
    }

    /** What the recorder has found so far in the views of all clusters of this test. */
    List<String> anomalies() {
        return List.copyOf(anomalies);
    }

    void assertNoAnomalies() {
        assertEquals(List.of(), anomalies);
    }

    static MemberState state(SimulatedCluster cluster, int who, String of) {
        return cluster.view(who).members().stream()
                .filter(m -> m.identity().name().equals(of))
                .map(Member::state)
                .findFirst()
                .orElse(null);
    }

    static long failures(SimulatedCluster cluster, int count) {
        return IntStream.range(0, count)
                .filter(cluster::isUp)
                .mapToLong(i -> cluster.swimProtocol(i).counters().get(MembershipCounters.Name.FAILED))
                .sum();
    }

    /** A datagram with an update about a member that no process sent. */
    static byte[] forged(String from, String of, long generation, MemberState state, long incarnation) {
        Identity identity =
                new Identity(of, generation, 1, "a", Role.NODE, new InetSocketAddress("127.0.0.9", 9), "d", 1, 1);
        return new MessageCodec()
                .encode(new Message.Gossip(
                        new Message.Envelope("d", 1, from, 1, List.of(new Member(identity, state, incarnation, "")))));
    }
}
