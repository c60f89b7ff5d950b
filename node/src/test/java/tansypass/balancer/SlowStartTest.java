package tansypass.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Rule 4 of the protocol: a node's share of the requests that a server may get while it is warming up. */
class SlowStartTest {

    private static ServerEntry createStartedServer(String id, long startedAtUs) {
        return new ServerEntry(id, 0, 0, ServerState.READY, 1, startedAtUs);
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
        node.updateEndpoints(UpdateKind.DELTA, List.of(createStartedServer("warming", node.nowUs)));
        // With 100 responses per second and five servers, an equal share is 20 per second. A server that has just
        // started can serve a fifth of that.
        for (int round = 0; round < 200; round++) {
            List<Long> burst = new ArrayList<>();
            for (int i = 0; i < 10; i++) {
                burst.add(node.submitRequest(BalancerHarness.IDEMPOTENT));
            }
            node.advance(10_000);
            // Only one request of ten is completed: the arrival rate is ten times the throughput.
            burst.stream()
                    .map(node::lastAttempt)
                    .filter(s -> s != null && !s.server().equals("warming"))
                    .findFirst()
                    .ifPresent(s -> node.endAttempt(s.requestId(), AttemptResult.OK, 0));
        }
        long sentToWarming = node.countSentTo("warming");
        assertTrue(
                sentToWarming >= 1 && sentToWarming <= 16,
                "sent to the warming server in two seconds: " + sentToWarming);
    }

    @Test
    void newNodeDoesNotOverloadWarmingServer() {
        BalancerHarness node = new BalancerHarness();
        node.updateEndpoints(
                UpdateKind.CACHED,
                List.of(createStartedServer("warming", node.nowUs - 100_000), BalancerHarness.createServer("warm")));
        for (int i = 0; i < 200; i++) {
            node.submitRequest(BalancerHarness.IDEMPOTENT);
            node.advance(1_000);
        }
        long sentToWarming = node.countSentTo("warming");
        assertTrue(sentToWarming <= 2, "sent to the warming server in 0.2 s: " + sentToWarming);
    }

    @Test
    void slowStartDoesNotDependOnClockOrigin() {
        // Guards against a first response interval that is measured from the origin of the clock.
        List<Long> sentToWarming = new ArrayList<>();
        for (long clockOriginUs : new long[] {1_000_000, 900_000_000_000L}) {
            BalancerHarness node = new BalancerHarness();
            node.nowUs = clockOriginUs;
            node.withServers(3);
            for (int i = 0; i < 100; i++) {
                node.runRequest(BalancerHarness.IDEMPOTENT, AttemptResult.OK, 10_000);
            }
            node.updateEndpoints(UpdateKind.DELTA, List.of(createStartedServer("warming", node.nowUs)));
            for (int i = 0; i < 300; i++) {
                node.runRequest(BalancerHarness.IDEMPOTENT, AttemptResult.OK, 10_000);
            }
            sentToWarming.add(node.countSentTo("warming"));
        }
        assertEquals(sentToWarming.get(0), sentToWarming.get(1));
        assertTrue(sentToWarming.get(0) > 1, "sent to the warming server in three seconds: " + sentToWarming.get(0));
    }

    @Test
    void slowStartDoesNotRaiseConcurrencyLimitOfWarmingServer() {
        // Guards against a limit that grows too far: fast responses to single requests raise it, and the server is
        // overloaded once it is warm.
        BalancerSettings.Builder settings = BalancerHarness.createSettings();
        settings.nodes(8);
        BalancerHarness node = new BalancerHarness(settings, 5);
        node.updateEndpoints(
                UpdateKind.CACHED,
                List.of(createStartedServer("warming", node.nowUs), BalancerHarness.createServer("warm")));
        long warmAtUs = node.nowUs + node.settings.slowStartUs();
        int completed = 0;
        while (node.nowUs < warmAtUs) {
            for (int i = 0; i < 3; i++) {
                node.submitRequest(BalancerHarness.IDEMPOTENT);
            }
            for (; completed < node.sentAttempts.size(); completed++) {
                BalancerHarness.SentAttempt sent = node.sentAttempts.get(completed);
                node.endAttempt(
                        sent.requestId(), AttemptResult.OK, sent.server().equals("warming") ? 10_000 : 150_000);
            }
            node.advance(50_000);
        }
        node.advance(3_000_000);
        long sentBefore = node.countSentTo("warming");
        for (int i = 0; i < 20; i++) {
            node.submitRequest(BalancerHarness.IDEMPOTENT);
        }
        long burst = node.countSentTo("warming") - sentBefore;
        assertTrue(burst <= 1, "sent immediately to the server that is now warm: " + burst);
    }

    @Test
    void largeClusterDoesNotOverloadServerThatAllNodesLearnOfAtOnce() {
        // Guards against an initial budget that is not random, with which all nodes send to a warming server at once.
        BalancerSettings settings = createLargeClusterSettings();
        int sentToWarming = 0;
        for (int seed = 0; seed < settings.nodes(); seed++) {
            BalancerHarness node = new BalancerHarness(settings, seed);
            node.withServers(10);
            // Two requests per second from each of 100 nodes: each of ten servers gets twenty per second.
            for (int i = 0; i < 20; i++) {
                node.runRequest(BalancerHarness.IDEMPOTENT, AttemptResult.OK, 10_000);
                node.advance(490_000);
            }
            node.updateEndpoints(UpdateKind.DELTA, List.of(createStartedServer("warming", node.nowUs)));
            for (int i = 0; i < 4; i++) {
                node.runRequest(BalancerHarness.IDEMPOTENT, AttemptResult.OK, 10_000);
                node.advance(490_000);
            }
            sentToWarming += (int) node.countSentTo("warming");
        }
        // At most 22: a fifth of 200/11 per second, times two seconds, times the overload multiple of three.
        assertTrue(sentToWarming >= 1 && sentToWarming <= 22, "sent by all nodes in two seconds: " + sentToWarming);
    }

    @Test
    void warmingMajorityServesItsShareOfRequests() {
        BalancerHarness node = new BalancerHarness().withServers(24);
        for (int i = 0; i < 400; i++) {
            node.runRequest(BalancerHarness.IDEMPOTENT, AttemptResult.OK, 10_000);
        }
        List<ServerEntry> restarted = new ArrayList<>();
        for (int i = 8; i < 24; i++) {
            restarted.add(createStartedServer("s" + i, node.nowUs));
        }
        node.updateEndpoints(UpdateKind.DELTA, restarted);
        int sentToWarm = 0;
        for (int i = 0; i < 600; i++) {
            sentToWarm += Integer.parseInt(node.runRequest(BalancerHarness.IDEMPOTENT, AttemptResult.OK, 10_000)
                                    .substring(1))
                            < 8
                    ? 1
                    : 0;
        }
        // Sixteen servers at a fifth to a half of their capacity have that of about five of the eight warm servers.
        assertTrue(
                sentToWarm < 390 && sentToWarm > 240,
                "requests of 600 that were sent to the warm servers in six seconds: " + sentToWarm);
    }

    @Test
    void statisticsFromBeforeRestartsDoNotSetBudgetOfRestartedServers() {
        // Guards against budgets by outdated statistics: a node with few requests has statistics from long before most
        // servers were restarted.
        BalancerSettings settings = createLargeClusterSettings();
        int[] sentToWarming = new int[6];
        for (int seed = 0; seed < settings.nodes(); seed++) {
            BalancerHarness node = new BalancerHarness(settings, seed);
            node.withServers(10);
            for (int i = 0; i < 60; i++) {
                node.runRequest(BalancerHarness.IDEMPOTENT, AttemptResult.OK, 10_000);
                node.advance(490_000);
            }
            List<ServerEntry> restarted = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                restarted.add(createStartedServer("s" + i, node.nowUs));
            }
            node.updateEndpoints(UpdateKind.DELTA, restarted);
            for (int i = 0; i < 6; i++) {
                String server = node.runRequest(BalancerHarness.IDEMPOTENT, AttemptResult.OK, 10_000);
                int number = Integer.parseInt(server.substring(1));
                sentToWarming[Math.min(5, number)] += number < 6 ? 1 : 0;
                node.advance(490_000);
            }
        }
        // At most 60: a third of 200/10 per second, times three seconds, times the overload multiple of three.
        for (int sent : sentToWarming) {
            assertTrue(sent >= 1 && sent <= 60, "sent by all nodes in three seconds: " + sent);
        }
    }
}
