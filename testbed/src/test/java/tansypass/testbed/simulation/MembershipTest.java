package tansypass.testbed.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.junit.jupiter.api.Test;
import tansypass.cluster.membership.Identity;
import tansypass.cluster.membership.Member;
import tansypass.cluster.membership.MemberState;
import tansypass.cluster.membership.MembershipCounters;
import tansypass.cluster.membership.MembershipSettings;
import tansypass.cluster.membership.MembershipView;
import tansypass.cluster.membership.Message;
import tansypass.cluster.membership.MessageCodec;
import tansypass.cluster.membership.Role;
import tansypass.cluster.runtime.RandomStreams;

/** Membership under faults, in virtual time; docs/membership.md has the guarantees. */
class MembershipTest {
    private static final long SECOND_US = 1_000_000;
    private static final MembershipSettings SETTINGS = MembershipSettings.DEFAULT;

    private final List<String> anomalies = new ArrayList<>();

    /** Returns the longest suspicion timeout in a cluster of this size, in microseconds. */
    private static long suspicionUs(int memberCount) {
        return Math.round(SETTINGS.maxSuspicionMultiplier()
                * SETTINGS.suspicionMultiplier()
                * Math.max(1, Math.log10(memberCount))
                * SECOND_US);
    }

    /** Creates a cluster and records anomalies of its views: invented members, and updates that go backwards. */
    private SimulatedCluster newCluster(long seed, int count) {
        SimulatedCluster cluster = new SimulatedCluster(seed, SETTINGS, count, List.of("a", "b", "c"));
        Map<String, Member> last = new HashMap<>();
        Set<Long> startedNonces = new HashSet<>();
        cluster.setViewListener(new ViewListener() {
            /** A view starts empty with each process. */
            private String keyOf(int who, Member entry) {
                return who + " " + cluster.swimProtocol(who).self().nonce() + ">"
                        + entry.identity().name();
            }

            @Override
            public void onReap(int who, Member reaped) {
                last.remove(keyOf(who, reaped));
            }

            @Override
            public void onUpdate(int who, Member after) {
                Member known = last.put(keyOf(who, after), after);
                if (after.identity().nonce() == cluster.swimProtocol(who).self().nonce()) {
                    startedNonces.add(after.identity().nonce());
                }
                if (!startedNonces.contains(after.identity().nonce())) {
                    anomalies.add("invented: " + after);
                }
                if (known == null) {
                    return;
                }
                if (after.identity().generation() < known.identity().generation()) {
                    anomalies.add("earlier generation: " + known + " to " + after);
                }
                boolean same = after.identity().generation() == known.identity().generation()
                        && after.identity().nonce() == known.identity().nonce();
                if (same && after.incarnation() < known.incarnation()) {
                    anomalies.add("lower incarnation: " + known + " to " + after);
                }
                if (same
                        && after.isPresent()
                        && (known.state() == MemberState.LEFT
                                || (known.state() == MemberState.FAILED
                                        && after.incarnation() <= known.incarnation()))) {
                    anomalies.add("returned by an outdated update: " + known + " to " + after);
                }
            }
        });
        return cluster;
    }

    private SimulatedCluster startCluster(long seed, int count) {
        SimulatedCluster cluster = newCluster(seed, count);
        cluster.startAll();
        assertTrue(cluster.runUntilConverged(60 * SECOND_US) >= 0, "not converged after the start");
        return cluster;
    }

    private void assertNoAnomalies() {
        assertEquals(List.of(), anomalies);
    }

    private static MemberState state(SimulatedCluster cluster, int who, String of) {
        return cluster.view(who).members().stream()
                .filter(m -> m.identity().name().equals(of))
                .map(Member::state)
                .findFirst()
                .orElse(null);
    }

    private static long failures(SimulatedCluster cluster, int count) {
        return IntStream.range(0, count)
                .filter(cluster::isUp)
                .mapToLong(i -> cluster.swimProtocol(i).counters().get(MembershipCounters.Name.FAILED))
                .sum();
    }

    @Test
    void equalSeedsGiveEqualTraces() {
        List<String> traces = new ArrayList<>();
        for (long seed : new long[] {5, 5, 6}) {
            SimulatedCluster cluster = startCluster(seed, 20);
            cluster.setLossRate(0.1);
            cluster.kill(3);
            cluster.run(60 * SECOND_US);
            traces.add(cluster.traceHash());
        }
        assertEquals(traces.get(0), traces.get(1));
        assertNotEquals(traces.get(0), traces.get(2));
    }

    @Test
    void allViewsDetectFailureWithinSuspicionTimeout() {
        SimulatedCluster cluster = startCluster(1, 50);
        cluster.kill(7);
        long tookUs = cluster.runUntilConverged(50 * SECOND_US + suspicionUs(50) + 8 * SECOND_US);
        assertTrue(tookUs >= 0, "still there");
        assertEquals(MemberState.FAILED, state(cluster, 0, "node-7"));
        assertEquals(16, cluster.view(0).presentByZone(Role.NODE).get("b"), "one member less in its zone");
        assertNoAnomalies();
    }

    @Test
    void allViewsRemoveLeavingMemberPermanently() {
        SimulatedCluster cluster = startCluster(2, 50);
        cluster.leave(9);
        long tookUs = cluster.runUntilConverged(10 * SECOND_US);
        assertTrue(tookUs >= 0, "still there after 10 s");
        cluster.run(120 * SECOND_US);
        assertEquals(MemberState.LEFT, state(cluster, 30, "node-9"));
        assertEquals(0, failures(cluster, 50));
        assertNoAnomalies();
    }

    @Test
    void noFalsePositivesWithThirtyPercentLoss() {
        SimulatedCluster cluster = startCluster(3, 40);
        cluster.setLossRate(0.3);
        cluster.run(300 * SECOND_US);
        assertEquals(0, failures(cluster, 40));
        cluster.setLossRate(0);
        assertTrue(cluster.runUntilConverged(60 * SECOND_US) >= 0);
        assertNoAnomalies();
    }

    @Test
    void partitionInHalvesHeals() {
        SimulatedCluster cluster = startCluster(4, 30);
        cluster.setLinkFilter((from, to) -> from % 2 == to % 2);
        cluster.run(120 * SECOND_US);
        assertEquals(
                15, cluster.view(0).members().stream().filter(Member::isPresent).count());
        assertEquals(
                15, cluster.view(1).members().stream().filter(Member::isPresent).count());
        cluster.setLinkFilter((from, to) -> true);
        assertTrue(cluster.runUntilConverged(60 * SECOND_US) >= 0, "not healed");
        assertNoAnomalies();
    }

    @Test
    void partitionInThreeHealsInTwoSteps() {
        SimulatedCluster cluster = startCluster(5, 30);
        cluster.setLinkFilter((from, to) -> from % 3 == to % 3);
        cluster.run(100 * SECOND_US);
        cluster.setLinkFilter((from, to) -> from % 3 == to % 3 || from % 3 + to % 3 == 3);
        cluster.run(100 * SECOND_US);
        assertEquals(
                20, cluster.view(1).members().stream().filter(Member::isPresent).count());
        assertEquals(
                10, cluster.view(0).members().stream().filter(Member::isPresent).count());
        cluster.setLinkFilter((from, to) -> true);
        assertTrue(cluster.runUntilConverged(60 * SECOND_US) >= 0, "not healed");
        assertNoAnomalies();
    }

    @Test
    void indirectProbesPreventFalsePositivesOnFaultyLinks() {
        SimulatedCluster cluster = startCluster(6, 20);
        cluster.setLinkFilter((from, to) -> from != 3 || to != 4);
        cluster.run(200 * SECOND_US);
        cluster.setLinkFilter((from, to) -> (from + to) % 7 != 0 || cluster.nowUs() / SECOND_US % 2 == 0);
        cluster.run(200 * SECOND_US);
        assertEquals(0, failures(cluster, 20));
        assertNoAnomalies();
    }

    @Test
    void shortPauseIsToleratedAndLongPauseRecovers() {
        SimulatedCluster cluster = startCluster(7, 50);
        IntStream.range(10, 15).forEach(i -> cluster.pause(i, true));
        cluster.run(3 * SECOND_US);
        IntStream.range(10, 15).forEach(i -> cluster.pause(i, false));
        assertTrue(cluster.runUntilConverged(30 * SECOND_US) >= 0);
        assertEquals(0, failures(cluster, 50));
        IntStream.range(10, 15).forEach(i -> cluster.pause(i, true));
        cluster.run(30 * SECOND_US);
        assertTrue(failures(cluster, 50) > 0, "a pause of 30 s was not detected");
        IntStream.range(10, 15).forEach(i -> cluster.pause(i, false));
        assertTrue(cluster.runUntilConverged(60 * SECOND_US) >= 0, "not back");
        assertEquals(
                50, cluster.view(0).members().stream().filter(Member::isPresent).count());
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
                cluster.swimProtocol(4).counters().get(MembershipCounters.Name.NAME_CONFLICTS) > 0, "no name conflict");
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
                            .anyMatch(who -> who.name().equals("node-4") && who.nonce() == nonce),
                    "view of " + i);
        }
        // The namesake is killed; the superseded process takes the name back.
        cluster.kill(namesake);
        assertTrue(cluster.runUntilConverged(200 * SECOND_US) >= 0, "not back");
        assertFalse(cluster.swimProtocol(4).isSuperseded());
        assertNoAnomalies();
    }

    @Test
    void slowMemberIsNotHeldToHaveFailed() {
        SimulatedCluster cluster = startCluster(11, 20);
        // It runs for 100 ms every two seconds.
        for (int i = 0; i < 100; i++) {
            cluster.pause(5, true);
            cluster.run(1_900_000);
            cluster.pause(5, false);
            cluster.run(100_000);
        }
        assertEquals(0, failures(cluster, 20));
        assertNoAnomalies();
    }

    @Test
    void twoHundredMembersJoinThroughOneSeed() {
        SimulatedCluster cluster = newCluster(12, 200);
        cluster.startAll();
        long tookUs = cluster.runUntilConverged(120 * SECOND_US);
        assertTrue(tookUs >= 0, "not converged");
        assertEquals(0, failures(cluster, 200));
        assertNoAnomalies();
    }

    @Test
    void isolatedMemberJoinsWhenReachable() {
        SimulatedCluster cluster = newCluster(13, 5);
        cluster.setLinkFilter((from, to) -> from != 4 && to != 4);
        cluster.startAll();
        cluster.run(100 * SECOND_US);
        MembershipView alone = cluster.view(4);
        assertFalse(alone.joined());
        assertEquals(1, alone.members().size());
        cluster.setLinkFilter((from, to) -> true);
        assertTrue(cluster.runUntilConverged(60 * SECOND_US) >= 0);
        assertTrue(cluster.view(4).joined());
        assertNoAnomalies();
    }

    @Test
    void rejectsAndCountsMembersOfAnotherDeployment() {
        SimulatedCluster cluster = startCluster(14, 5);
        int foreign = cluster.add("stranger");
        cluster.start(foreign, List.of(0), 0, "other");
        cluster.run(100 * SECOND_US);
        assertTrue(cluster.swimProtocol(0).counters().get(MembershipCounters.Name.DROPPED_DEPLOYMENT) > 0);
        assertEquals(1, cluster.view(foreign).members().size());
        assertEquals(5, cluster.view(0).members().size());
        assertNoAnomalies();
    }

    @Test
    void dropsAndCountsMalformedDatagrams() {
        SimulatedCluster cluster = startCluster(15, 10);
        UniformRandomProvider random = RandomStreams.of(15, "garbage");
        byte[] good = new MessageCodec()
                .encode(new Message.Ping(new Message.Envelope("d", 1, "node-1", 1, List.of()), 7, "node-0"));
        long before = cluster.swimProtocol(0).counters().get(MembershipCounters.Name.DROPPED_MALFORMED);
        int bad = 0;
        for (int i = 0; i < 2_000; i++) {
            byte[] some = new byte[random.nextInt(1_600)];
            random.nextBytes(some);
            cluster.injectDatagram(0, some);
            bad++;
            byte[] cut = Arrays.copyOf(good, random.nextInt(good.length - 1));
            cluster.injectDatagram(0, cut);
            bad++;
            cluster.injectDatagram(0, good);
        }
        assertEquals(bad, cluster.swimProtocol(0).counters().get(MembershipCounters.Name.DROPPED_MALFORMED) - before);
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

    private static byte[] forged(String from, String of, long generation, MemberState state, long incarnation) {
        Identity identity =
                new Identity(of, generation, 1, "a", Role.NODE, new InetSocketAddress("127.0.0.9", 9), "d", 1, 1);
        return new MessageCodec()
                .encode(new Message.Gossip(
                        new Message.Envelope("d", 1, from, 1, List.of(new Member(identity, state, incarnation, "")))));
    }

    // What the listener above has to detect: updates that no process sent.

    @Test
    void listenerDetectsInventedMember() {
        SimulatedCluster cluster = startCluster(17, 3);
        cluster.injectDatagram(0, forged("node-1", "fake", 1, MemberState.ALIVE, 0));
        assertTrue(anomalies.get(0).startsWith("invented"), anomalies.toString());
    }

    @Test
    void failedMemberReturnsOnlyWithHigherIncarnation() {
        SimulatedCluster cluster = startCluster(18, 5);
        Member victim = cluster.view(0).members().get(3);
        cluster.kill(3);
        assertTrue(cluster.runUntilConverged(200 * SECOND_US) >= 0);
        assertNoAnomalies();
        byte[] old = new MessageCodec()
                .encode(new Message.Gossip(new Message.Envelope("d", 1, "node-1", 1, List.of(victim))));
        cluster.injectDatagram(0, old);
        cluster.run(SECOND_US);
        assertEquals(MemberState.FAILED, state(cluster, 0, "node-3"));
        assertNoAnomalies();
        // The same with an incarnation that only the dead process could have sent.
        Member refuted = new Member(victim.identity(), MemberState.ALIVE, 99, "");
        cluster.injectDatagram(
                0,
                new MessageCodec()
                        .encode(new Message.Gossip(new Message.Envelope("d", 1, "node-1", 1, List.of(refuted)))));
        assertEquals(MemberState.ALIVE, state(cluster, 0, "node-3"));
    }
}
