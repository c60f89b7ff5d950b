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
 * Base of tests that run clusters of the membership protocol in virtual time and record anomalies in their views. The
 * guarantees of the protocol are in docs/membership.md.
 */
abstract class MembershipTestCase {
    static final long SECOND_US = 1_000_000;
    static final MembershipSettings SETTINGS = MembershipSettings.DEFAULT;

    private final List<String> anomalies = new ArrayList<>();

    /** Creates a cluster whose view anomalies are recorded; no member is started yet. */
    SimulatedCluster newCluster(long seed, int count) {
        SimulatedCluster cluster = new SimulatedCluster(seed, SETTINGS, count, List.of("a", "b", "c"));
        cluster.setViewListener(new ViewAnomalyRecorder(cluster, anomalies));
        return cluster;
    }

    /** Starts all members of a new cluster and waits until their views are equal. */
    SimulatedCluster startCluster(long seed, int count) {
        SimulatedCluster cluster = newCluster(seed, count);
        cluster.startAll();
        assertTrue(cluster.runUntilConverged(60 * SECOND_US) >= 0, "views are not equal 60 s after the start");
        return cluster;
    }

    /** Returns the anomalies found so far in the views of all clusters of this test. */
    List<String> anomalies() {
        return List.copyOf(anomalies);
    }

    void assertNoAnomalies() {
        assertEquals(List.of(), anomalies);
    }

    /** Returns the state of a member in the view of another one, or null if the view lacks it. */
    static MemberState state(SimulatedCluster cluster, int viewer, String name) {
        return cluster.view(viewer).members().stream()
                .filter(member -> member.identity().name().equals(name))
                .map(Member::state)
                .findFirst()
                .orElse(null);
    }

    /** Returns the number of times that the running members have declared others failed. */
    static long failureCount(SimulatedCluster cluster, int count) {
        return IntStream.range(0, count)
                .filter(cluster::isUp)
                .mapToLong(i -> cluster.swimProtocol(i).counters().get(MembershipCounters.Name.FAILED))
                .sum();
    }

    /** Returns a datagram, supposedly from {@code sender}, with an update about a member that no process sent. */
    static byte[] forged(String sender, String name, long generation, MemberState state, long incarnation) {
        Identity identity =
                new Identity(name, generation, 1, "a", Role.NODE, new InetSocketAddress("127.0.0.9", 9), "d", 1, 1);
        return new MessageCodec()
                .encode(new Message.Gossip(new Message.Envelope(
                        "d", 1, sender, 1, List.of(new Member(identity, state, incarnation, "")))));
    }
}
