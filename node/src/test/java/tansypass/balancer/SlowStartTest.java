package tansypass.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Rule 4 of the protocol: a node's part of the slow-start budget of a server that is warming up. */
class SlowStartTest {

    private static ServerEntry createStarted(String id, long atUs) {
        return new ServerEntry(id, 0, 0, ServerState.READY, 1, atUs);
    }

    private static BalancerSettings createLargeClusterSettings() {
        return BalancerHarness.createSettings()
                .nodes(100)
                .slowStartCapacity(0.2)
                .slowStartUs(20_000_000)
                .build();
    }

    @Test
    void warmingServerStaysWithinBudgetUnderOverload() {
        BalancerHarness node = new BalancerHarness().withServers(4);
        for (int i = 0; i < 400; i++) {
            node.runRequest(BalancerHarness.IDEMPOTENT, AttemptResult.OK, 10_000);
        }
        node.updateEndpoints(UpdateKind.DELTA, List.of(createStarted("warming", node.now)));
        // 100 responses a second from five servers: an even part is 20 a second, of which a server that is
        // warming up can do a fifth.
        for (int round = 0; round < 200; round++) {
            List<Long> burst = new ArrayList<>();
            for (int i = 0; i < 10; i++) {
                burst.add(node.submitRequest(BalancerHarness.IDEMPOTENT));
            }
            node.advance(10_000);
            // Only one request of ten is completed, so that arrivals are ten times the throughput.
            burst.stream()
                    .map(node::lastAttempt)
                    .filter(s -> s != null && !s.server().equals("warming"))
                    .findFirst()
                    .ifPresent(s -> node.endAttempt(s.request(), AttemptResult.OK, 0));
        }
        long toWarming = node.countSentTo("warming");
        assertTrue(toWarming >= 1 && toWarming <= 16, "sent to the warming server in two seconds: " + toWarming);
    }

    @Test
    void newNodeDoesNotOverloadWarmingServer() {
        BalancerHarness node = new BalancerHarness();
        node.updateEndpoints(
                UpdateKind.CACHED,
                List.of(createStarted("warming", node.now - 100_000), BalancerHarness.createServer("warm")));
        for (int i = 0; i < 200; i++) {
            node.submitRequest(BalancerHarness.IDEMPOTENT);
            node.advance(1_000);
        }
        long toWarming = node.countSentTo("warming");
        assertTrue(toWarming <= 2, "sent to the warming server in 0.2 s: " + toWarming);
    }

    @Test
    void slowStartDoesNotDependOnClockOrigin() {
        // Guards against a first interval between responses that was measured from the origin of the clock.
        List<Long> sentToWarming = new ArrayList<>();
        for (long epoch : new long[] {1_000_000, 900_000_000_000L}) {
            BalancerHarness node = new BalancerHarness();
            node.now = epoch;
            node.withServers(3);
            for (int i = 0; i < 100; i++) {
                node.runRequest(BalancerHarness.IDEMPOTENT, AttemptResult.OK, 10_000);
            }
            node.updateEndpoints(UpdateKind.DELTA, List.of(createStarted("warming", node.now)));
            for (int i = 0; i < 300; i++) {
                node.runRequest(BalancerHarness.IDEMPOTENT, AttemptResult.OK, 10_000);
            }
            sentToWarming.add(node.countSentTo("warming"));
        }
        assertEquals(sentToWarming.get(0), sentToWarming.get(1));
        assertTrue(sentToWarming.get(0) > 1, "sent to the warming server in three seconds: " + sentToWarming.get(0));
    }

    @Test
    void limitOfWarmingServerDoesNotGrowWhileOnlySlowStartLimitsIt() {
        // Fast responses to single requests must not raise a limit that overloads the server once it is warm.
        BalancerSettings.Builder set = BalancerHarness.createSettings();
        set.nodes(8);
        BalancerHarness node = new BalancerHarness(set, 5);
        node.updateEndpoints(
                UpdateKind.CACHED, List.of(createStarted("warming", node.now), BalancerHarness.createServer("warm")));
        long warmAt = node.now + node.settings.slowStartUs();
        int completed = 0;
        while (node.now < warmAt) {
            for (int i = 0; i < 3; i++) {
                node.submitRequest(BalancerHarness.IDEMPOTENT);
            }
            for (; completed < node.sent.size(); completed++) {
                BalancerHarness.SentAttempt sent = node.sent.get(completed);
                node.endAttempt(sent.request(), AttemptResult.OK, sent.server().equals("warming") ? 10_000 : 150_000);
            }
            node.advance(50_000);
        }
        node.advance(3_000_000);
        long before = node.countSentTo("warming");
        for (int i = 0; i < 20; i++) {
            node.submitRequest(BalancerHarness.IDEMPOTENT);
        }
        long burst = node.countSentTo("warming") - before;
        assertTrue(burst <= 1, "sent at once to the server that is now warm: " + burst);
    }

    @Test
    void largeClusterDoesNotOverloadServerThatAllNodesLearnOfAtOnce() {
        // Without a random first budget, all nodes would send their first request to a warming server at once.
        BalancerSettings set = createLargeClusterSettings();
        int toWarming = 0;
        for (int n = 0; n < set.nodes(); n++) {
            BalancerHarness node = new BalancerHarness(set, n);
            node.withServers(10);
            // Two requests a second: all nodes together give each of ten servers twenty.
            for (int i = 0; i < 20; i++) {
                node.runRequest(BalancerHarness.IDEMPOTENT, AttemptResult.OK, 10_000);
                node.advance(490_000);
            }
            node.updateEndpoints(UpdateKind.DELTA, List.of(createStarted("warming", node.now)));
            for (int i = 0; i < 4; i++) {
                node.runRequest(BalancerHarness.IDEMPOTENT, AttemptResult.OK, 10_000);
                node.advance(490_000);
            }
            toWarming += (int) node.countSentTo("warming");
        }
        // A fifth of 200/11 a second, times two seconds, times the rule's three: 22 at most.
        assertTrue(toWarming >= 1 && toWarming <= 22, "sent by all nodes in two seconds: " + toWarming);
    }

    @Test
    void warmServersDoNotGetLoadThatWarmingMajorityCanServe() {
        BalancerHarness node = new BalancerHarness().withServers(24);
        for (int i = 0; i < 400; i++) {
            node.runRequest(BalancerHarness.IDEMPOTENT, AttemptResult.OK, 10_000);
        }
        List<ServerEntry> restarted = new ArrayList<>();
        for (int i = 8; i < 24; i++) {
            restarted.add(createStarted("s" + i, node.now));
        }
        node.updateEndpoints(UpdateKind.DELTA, restarted);
        int warm = 0;
        for (int i = 0; i < 600; i++) {
            warm += Integer.parseInt(node.runRequest(BalancerHarness.IDEMPOTENT, AttemptResult.OK, 10_000)
                                    .substring(1))
                            < 8
                    ? 1
                    : 0;
        }
        // Sixteen servers with a fifth to a half of their capacity equal some five of the eight warm ones.
        assertTrue(warm < 390 && warm > 240, "sent to the warm ones in six seconds, of 600: " + warm);
    }

    @Test
    void throughputOfWarmServersDoesNotSetBudgetOfRestartedOnes() {
        // Few requests per node: its statistics date from long before most servers were restarted.
        BalancerSettings set = createLargeClusterSettings();
        int[] toWarming = new int[6];
        for (int n = 0; n < set.nodes(); n++) {
            BalancerHarness node = new BalancerHarness(set, n);
            node.withServers(10);
            for (int i = 0; i < 60; i++) {
                node.runRequest(BalancerHarness.IDEMPOTENT, AttemptResult.OK, 10_000);
                node.advance(490_000);
            }
            List<ServerEntry> restarted = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                restarted.add(createStarted("s" + i, node.now));
            }
            node.updateEndpoints(UpdateKind.DELTA, restarted);
            for (int i = 0; i < 6; i++) {
                String server = node.runRequest(BalancerHarness.IDEMPOTENT, AttemptResult.OK, 10_000);
                int number = Integer.parseInt(server.substring(1));
                toWarming[Math.min(5, number)] += number < 6 ? 1 : 0;
                node.advance(490_000);
            }
        }
        // A third of 200/10 a second at most, times three seconds, times the rule's three: 60.
        for (int sent : toWarming) {
            assertTrue(sent >= 1 && sent <= 60, "sent by all nodes in three seconds: " + sent);
        }
    }
}
