package tansypass.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Outlier ejection and recovery, unresponsive servers, cross-zone spillover and probe-based selection. */
class OutlierDetectionTest {

    /**
     * Runs a request that fails at {@code s0} and succeeds at other servers. Returns whether its first attempt went to
     * {@code s0}.
     */
    private static boolean runOnFailingServer(BalancerHarness node, int classIndex) {
        long id = node.submitRequest(classIndex);
        boolean failing = node.lastAttempt(id).server().equals("s0");
        node.endAttempt(id, failing ? AttemptResult.ERROR : AttemptResult.OK, 5_000);
        if (failing && node.countAttempts(id) > 1) {
            node.endAttempt(id, AttemptResult.OK, 5_000);
        }
        return failing;
    }

    /** Creates a balancer with four servers, of which {@code s0} has failed all of its requests so far. */
    private static BalancerHarness createWithFailingServer() {
        BalancerHarness node = new BalancerHarness().withServers(4);
        for (int i = 0; i < 4_000; i++) {
            runOnFailingServer(node, BalancerHarness.IDEMPOTENT);
        }
        return node;
    }

    private static void assertEjected(BalancerHarness node) {
        assertTrue(node.logLines.stream().anyMatch(l -> l.startsWith("ejected server s0")), node.logLines.toString());
    }

    @Test
    void ejectsFailingServerAndProbesItWithBackoff() {
        BalancerHarness node = createWithFailingServer();
        assertEjected(node);
        int halfOpenProbes = 0;
        long startUs = node.nowUs;
        while (node.nowUs < startUs + 20_000_000) {
            halfOpenProbes += runOnFailingServer(node, BalancerHarness.IDEMPOTENT) ? 1 : 0;
        }
        assertTrue(halfOpenProbes >= 2 && halfOpenProbes <= 14, "half-open probes in 20 s: " + halfOpenProbes);
    }

    @Test
    void usesPartlyFailingEjectedServerWhenOthersAreAtTheirLimits() {
        BalancerHarness node = new BalancerHarness().withServers(2);
        boolean failsAtS0 = false;
        for (int i = 0; i < 4_000; i++) {
            long id = node.submitRequest(BalancerHarness.NON_IDEMPOTENT);
            // Every second request at s0 fails.
            boolean sentToS0 = node.lastAttempt(id).server().equals("s0");
            failsAtS0 = sentToS0 != failsAtS0;
            node.endAttempt(id, sentToS0 && failsAtS0 ? AttemptResult.ERROR : AttemptResult.OK, 5_000);
        }
        assertEjected(node);
        List<String> servers = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            long id = node.submitRequest(i < 20 ? BalancerHarness.NON_IDEMPOTENT : BalancerHarness.IDEMPOTENT);
            servers.add(
                    node.lastAttempt(id) == null ? "none" : node.lastAttempt(id).server());
        }
        assertTrue(servers.subList(0, 20).stream().noneMatch("s0"::equals), servers.toString());
        assertTrue(servers.subList(20, 30).contains("s0"), servers.toString());
    }

    @Test
    void nonIdempotentRequestsAreNotUsedAsHalfOpenProbes() {
        BalancerHarness node = createWithFailingServer();
        node.advance(20_000_000);
        for (int i = 0; i < 200; i++) {
            assertTrue(!runOnFailingServer(node, BalancerHarness.NON_IDEMPOTENT));
        }
    }

    @Test
    void restoresServerAfterSeveralConsecutiveSuccesses() {
        BalancerHarness node = createWithFailingServer();
        node.advance(20_000_000);
        assertEquals("s0", node.runRequest(BalancerHarness.IDEMPOTENT, AttemptResult.OK, 5_000));
        assertTrue(node.logLines.stream().noneMatch(l -> l.startsWith("restored")));
        assertEquals("s0", node.runRequest(BalancerHarness.IDEMPOTENT, AttemptResult.OK, 5_000));
        assertEquals("s0", node.runRequest(BalancerHarness.IDEMPOTENT, AttemptResult.OK, 5_000));
        assertTrue(node.logLines.stream().anyMatch(l -> l.equals("restored server s0")));
    }

    @Test
    void ejectsAtMostHalfOfTheServers() {
        BalancerHarness node = new BalancerHarness().withServers(4);
        for (int i = 0; i < 300; i++) {
            node.runRequest(BalancerHarness.NON_IDEMPOTENT, AttemptResult.ERROR, 5_000);
        }
        // All servers fail. Only two of them may be ejected, and requests are still sent to the others.
        long id = node.submitRequest(BalancerHarness.NON_IDEMPOTENT);
        assertNotEquals(null, node.lastAttempt(id));
    }

    @Test
    void avoidsUnresponsiveServerBeforeAnyDeadlinePasses() {
        BalancerHarness node = new BalancerHarness().withServers(4);
        for (int i = 0; i < 100; i++) {
            node.runRequest(BalancerHarness.IDEMPOTENT, AttemptResult.OK, 10_000);
        }
        int sentToUnresponsive = 0;
        for (int i = 0; i < 80; i++) {
            long id = node.submitRequest(BalancerHarness.NON_IDEMPOTENT);
            if (node.lastAttempt(id).server().equals("s0")) {
                sentToUnresponsive++;
            } else {
                node.endAttempt(id, AttemptResult.OK, 10_000);
            }
        }
        assertTrue(sentToUnresponsive <= 5, "sent to the unresponsive server: " + sentToUnresponsive);
    }

    @Test
    void doesNotEjectOverloadedServerForTimeouts() {
        BalancerHarness node =
                new BalancerHarness(BalancerHarness.createSettingsWithResidualWeight(), 7).withServers(2);
        for (int round = 0; round < 80; round++) {
            // Send one request more than the limits admit: limits are raised only if they have been reached.
            List<Long> burstIds = new ArrayList<>();
            do {
                burstIds.add(node.submitRequest(BalancerHarness.IDEMPOTENT));
            } while (node.lastAttempt(burstIds.get(burstIds.size() - 1)) != null && burstIds.size() < 40);
            burstIds.forEach(id -> node.endAttempt(id, AttemptResult.OK, 100));
        }
        List<Long> overload = new ArrayList<>();
        for (int i = 0; i < 14; i++) {
            overload.add(node.submitRequest(BalancerHarness.IDEMPOTENT, 30_000));
        }
        for (String server : List.of("s0", "s1")) {
            long completed = overload.stream()
                    .filter(id -> node.lastAttempt(id).server().equals(server))
                    .findFirst()
                    .get();
            node.endAttempt(completed, AttemptResult.OK, 1_000);
            overload.remove(completed);
        }
        node.advance(28_000);
        overload.forEach(id -> node.endAttempt(id, AttemptResult.TIMEOUT, 0));
        assertTrue(node.logLines.stream().noneMatch(l -> l.startsWith("ejected")), node.logLines.toString());
    }

    @Test
    void prefersLocalZoneAndSpillsOverWhenItIsBusy() {
        BalancerSettings.Builder settings = BalancerHarness.createSettings();
        settings.crossZonePrice(0.02);
        BalancerHarness node = new BalancerHarness(settings, 5);
        List<ServerEntry> entries = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            entries.add(new ServerEntry("s" + i, i < 2 ? 0 : 1, 0, ServerState.READY, 1, 0));
        }
        node.updateEndpoints(UpdateKind.CACHED, entries);
        for (int i = 0; i < 50; i++) {
            assertTrue(
                    List.of("s0", "s1").contains(node.runRequest(BalancerHarness.IDEMPOTENT, AttemptResult.OK, 5_000)));
        }
        long sentToOtherZone = 0;
        for (int i = 0; i < 12; i++) {
            long id = node.submitRequest(BalancerHarness.IDEMPOTENT);
            sentToOtherZone += List.of("s0", "s1").contains(node.lastAttempt(id).server()) ? 0 : 1;
        }
        assertTrue(sentToOtherZone >= 6, "sent to the other zone: " + sentToOtherZone);
    }

    @Test
    void requestsHangingAtRemovedServerDoNotBlockOthers() {
        // Guards against requests at removed servers that use up the total concurrency limit of the node.
        BalancerHarness node = new BalancerHarness().withServers(1);
        for (int i = 0; i < 4; i++) {
            assertNotEquals(null, node.lastAttempt(node.submitRequest(BalancerHarness.NON_IDEMPOTENT)));
        }
        node.updateEndpoints(UpdateKind.SNAPSHOT, List.of(BalancerHarness.createServer("other")));
        for (int i = 0; i < 3; i++) {
            BalancerHarness.SentAttempt sent = node.lastAttempt(node.submitRequest(BalancerHarness.NON_IDEMPOTENT));
            assertTrue(sent != null && sent.server().equals("other"), "request " + i + " at " + sent);
        }
    }

    /**
     * Creates a balancer of a large cluster that has had half of its responses late, so that probes are worth their
     * price.
     */
    private static BalancerHarness createInLargeCluster() {
        BalancerSettings.Builder settings = BalancerHarness.createSettingsWithResidualWeight();
        settings.nodes(20);
        settings.probes(true);
        settings.probePrice(0.01);
        BalancerHarness node = new BalancerHarness(settings, 11).withServers(8);
        for (int i = 0; i < 40; i++) {
            long id = node.submitRequest(BalancerHarness.NON_IDEMPOTENT);
            node.endProbes();
            node.endAttempt(id, AttemptResult.OK, i % 2 == 0 ? 40_000 : 250_000);
        }
        return node;
    }

    /**
     * Submits requests until one of them waits for probes. The first may not, because a draw may yield one server
     * twice.
     */
    private static long submitProbingRequest(BalancerHarness node) {
        for (int i = 0; i < 20; i++) {
            long id = node.submitRequest(BalancerHarness.IDEMPOTENT);
            if (node.countAttempts(id) == 0) {
                assertEquals(2, node.probedServers.size());
                return id;
            }
            node.endAttempt(id, AttemptResult.OK, 40_000);
        }
        throw new AssertionError("no request has waited for probes");
    }

    @Test
    void sendsRequestToFirstServerThatRespondsToItsProbe() {
        // In a large cluster the load of a server changes faster than a node's own requests can show.
        BalancerHarness node = createInLargeCluster();
        long id = submitProbingRequest(node);
        String fastest = node.probedServers.get(1);
        node.balancer.onProbe(node.nowUs, fastest, AttemptResult.OK, 1_000, null);
        assertEquals(fastest, node.lastAttempt(id).server());
        node.balancer.onProbe(node.nowUs, node.probedServers.get(0), AttemptResult.OK, 9_000, null);
        assertEquals(1, node.countAttempts(id));
    }

    @Test
    void selectsByWeightIfNoProbeSucceedsInTime() {
        for (boolean fail : new boolean[] {false, true}) {
            BalancerHarness node = createInLargeCluster();
            long id = submitProbingRequest(node);
            if (fail) {
                node.endProbes();
            } else {
                node.advance(60_000);
            }
            assertEquals(1, node.countAttempts(id));
        }
    }

    @Test
    void doesNotProbeInClusterOfOneNode() {
        BalancerSettings.Builder settings = BalancerHarness.createSettings();
        settings.probes(true);
        BalancerHarness node = new BalancerHarness(settings, 11).withServers(8);
        for (int i = 0; i < 40; i++) {
            node.runRequest(BalancerHarness.IDEMPOTENT, AttemptResult.OK, 190_000);
        }
        assertTrue(node.probedServers.isEmpty());
    }
}
