package tansypass.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Server selection, retries, concurrency limits and queueing while servers are healthy. */
class LoadBalancingTest {

    @Test
    void selectsServerWithFewerRequestsInFlight() {
        BalancerHarness node = new BalancerHarness().withServers(2);
        String busy =
                node.lastAttempt(node.submitRequest(BalancerHarness.IDEMPOTENT)).server();
        for (int i = 0; i < 20; i++) {
            long id = node.submitRequest(BalancerHarness.IDEMPOTENT);
            assertNotEquals(busy, node.lastAttempt(id).server());
            node.endAttempt(id, AttemptResult.OK, 10_000);
        }
    }

    @Test
    void spreadsRequestsEvenlyOverEqualServers() {
        BalancerHarness node = new BalancerHarness().withServers(4);
        Map<String, Integer> sentByServer = new HashMap<>();
        for (int i = 0; i < 4_000; i++) {
            sentByServer.merge(node.runRequest(BalancerHarness.IDEMPOTENT, AttemptResult.OK, 1_000), 1, Integer::sum);
        }
        for (int i = 0; i < 4; i++) {
            assertTrue(Math.abs(sentByServer.get("s" + i) - 1_000) < 150, sentByServer.toString());
        }
    }

    @Test
    void selectsLessLoadedServerDespiteOneFailure() {
        BalancerHarness node = new BalancerHarness().withServers(2);
        long id = node.submitRequest(BalancerHarness.NON_IDEMPOTENT);
        String failingServer = node.lastAttempt(id).server();
        node.endAttempt(id, AttemptResult.ERROR, 1_000);
        long inFlightId = node.submitRequest(BalancerHarness.IDEMPOTENT);
        String otherServer = node.lastAttempt(inFlightId).server();
        // After a single error both servers are still drawn, and the one with fewer attempts in flight is selected.
        String lessLoaded = otherServer.equals("s0") ? "s1" : "s0";
        assertEquals(
                lessLoaded,
                node.lastAttempt(node.submitRequest(BalancerHarness.IDEMPOTENT)).server());
        assertTrue(List.of("s0", "s1").contains(failingServer));
    }

    @Test
    void retriesIdempotentRequestOnNextServerInListOrder() {
        BalancerHarness node = new BalancerHarness().withServers(5);
        long id = node.submitRequest(BalancerHarness.IDEMPOTENT);
        for (int i = 0; i < 3; i++) {
            int serverIndex = Integer.parseInt(node.lastAttempt(id).server().substring(1));
            node.endAttempt(id, AttemptResult.ERROR, 1_000);
            assertEquals("s" + (serverIndex + 1) % 5, node.lastAttempt(id).server());
        }
        node.endAttempt(id, AttemptResult.ERROR, 1_000);
        assertEquals(4, node.countAttempts(id));
        assertEquals(List.of(id), node.rejectedIds);
    }

    @Test
    void retriesNonIdempotentRequestOnlyWhenKnownNotExecuted() {
        BalancerHarness node = new BalancerHarness().withServers(3);
        long id = node.submitRequest(BalancerHarness.NON_IDEMPOTENT);
        node.endAttempt(id, AttemptResult.CONNECT_FAILED, 1_000);
        assertEquals(2, node.countAttempts(id));
        node.endAttempt(id, AttemptResult.RESET, 1_000);
        assertEquals(2, node.countAttempts(id));
        assertEquals(List.of(id), node.failedIds);
    }

    @Test
    void queuesRequestsInOrderUntilServerIsAvailable() {
        BalancerHarness node = new BalancerHarness().withServers(0);
        long first = node.submitRequest(BalancerHarness.NON_IDEMPOTENT);
        long second = node.submitRequest(BalancerHarness.IDEMPOTENT);
        node.advance(50_000);
        assertTrue(node.sentAttempts.isEmpty());
        node.updateEndpoints(
                UpdateKind.DELTA, List.of(BalancerHarness.createServer("s0"), BalancerHarness.createServer("s1")));
        assertEquals(
                List.of(first, second),
                node.sentAttempts.stream()
                        .map(BalancerHarness.SentAttempt::requestId)
                        .toList());
    }

    @Test
    void rejectsQueuedRequestBeforeItsDeadline() {
        BalancerHarness node =
                new BalancerHarness(BalancerHarness.createSettingsWithResidualWeight(), 7).withServers(0);
        long id = node.submitRequest(BalancerHarness.NON_IDEMPOTENT, 300_000);
        node.advance(299_999);
        assertEquals(List.of(id), node.rejectedIds);
        assertFalse(node.failedIds.contains(id));
    }

    @Test
    void rejectsClientRetryThatArrivesAfterLatencyObjective() {
        // Guards against an overloaded cluster that spends most of its work on attempts whose response has no value.
        BalancerHarness node = new BalancerHarness().withServers(2);
        for (int i = 0; i < 10; i++) {
            node.endAttempt(node.submitRequest(BalancerHarness.IDEMPOTENT, 500_000), AttemptResult.OK, 10_000);
        }
        long inTime = node.submitRequest(BalancerHarness.IDEMPOTENT, 900_000);
        long tooLate = node.submitRequest(BalancerHarness.IDEMPOTENT, 700_000);
        assertEquals(1, node.countAttempts(inTime));
        assertEquals(0, node.countAttempts(tooLate));
        assertTrue(node.rejectedIds.contains(tooLate));
    }

    @Test
    void doesNotInferClientRetriesFromVaryingDeadlines() {
        BalancerHarness node = new BalancerHarness().withServers(2);
        for (int i = 0; i < 20; i++) {
            long id = node.submitRequest(BalancerHarness.IDEMPOTENT, 200_000 + i % 10 * 70_000);
            assertEquals(1, node.countAttempts(id));
            node.endAttempt(id, AttemptResult.OK, 10_000);
        }
    }

    @Test
    void attemptsThatCannotBeRetriedTimeOutAtLatencyObjective() {
        BalancerHarness node = new BalancerHarness().withServers(3);
        assertEquals(
                node.nowUs + 200_000,
                node.lastAttempt(node.submitRequest(BalancerHarness.NON_IDEMPOTENT))
                        .timeoutAtUs());
        assertEquals(
                node.nowUs + 200_000,
                node.lastAttempt(node.submitRequest(BalancerHarness.KEYED_CELL)).timeoutAtUs());
        assertEquals(
                node.nowUs + 1_000_000,
                node.lastAttempt(node.submitRequest(BalancerHarness.IDEMPOTENT)).timeoutAtUs());
    }

    @Test
    void prefersFasterServerAmongIdleOnes() {
        BalancerHarness node = new BalancerHarness().withServers(4);
        Map<String, Integer> sentByServer = new HashMap<>();
        for (int i = 0; i < 400; i++) {
            long id = node.submitRequest(BalancerHarness.IDEMPOTENT);
            String server = node.lastAttempt(id).server();
            sentByServer.merge(server, 1, Integer::sum);
            node.endAttempt(id, AttemptResult.OK, server.equals("s0") ? 60_000 : 20_000);
        }
        assertTrue(sentByServer.get("s0") < 60, sentByServer.toString());
    }

    @Test
    void queuesAtConcurrencyLimitAndDispatchesByPriorityWeight() {
        BalancerSettings.Builder settings = BalancerHarness.createSettings();
        settings.addClass(new RequestClass(
                "high-priority",
                200_000,
                0,
                1_000_000,
                9,
                0,
                Idempotency.IDEMPOTENT,
                DeduplicationScope.ALL,
                0,
                false));
        settings.nodes(2);
        BalancerHarness node = new BalancerHarness(settings, 3).withServers(2);
        List<Long> ids = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            ids.add(node.submitRequest(BalancerHarness.IDEMPOTENT));
        }
        long highPriority = node.submitRequest(5);
        // Each of two nodes starts with a limit of two at each of two servers: the fifth and sixth request are queued.
        assertEquals(4, node.sentAttempts.size());
        node.endAttempt(ids.get(0), AttemptResult.OK, 10_000);
        assertEquals(highPriority, node.sentAttempts.get(4).requestId());
    }

    @Test
    void slowResponsesLowerLimitAndFastOnesRaiseIt() {
        BalancerHarness slow = new BalancerHarness().withServers(1);
        BalancerHarness fast = new BalancerHarness().withServers(1);
        for (int i = 0; i < 30; i++) {
            slow.runRequest(BalancerHarness.IDEMPOTENT, AttemptResult.OK, 150_000);
            long[] pair = {
                fast.submitRequest(BalancerHarness.IDEMPOTENT), fast.submitRequest(BalancerHarness.IDEMPOTENT)
            };
            fast.endAttempt(pair[0], AttemptResult.OK, 5_000);
            fast.endAttempt(pair[1], AttemptResult.OK, 5_000);
        }
        for (int i = 0; i < 8; i++) {
            slow.submitRequest(BalancerHarness.IDEMPOTENT);
            fast.submitRequest(BalancerHarness.IDEMPOTENT);
        }
        assertEquals(1, slow.sentAttempts.size() - 30);
        assertTrue(fast.sentAttempts.size() - 60 >= 3, "sent " + fast.sentAttempts.size());
    }

    @Test
    void dispatchesTenantOverQuotaAfterOneWithinQuota() {
        BalancerSettings.Builder settings = BalancerHarness.createSettings();
        settings.overQuotaWeight(0.1);
        settings.tenants(List.of(new Tenant("overQuota", 1), new Tenant("withinQuota", 100)));
        BalancerHarness node = new BalancerHarness(settings, 3).withServers(1);
        List<Long> firstIds = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            firstIds.add(node.submitRequest(BalancerHarness.IDEMPOTENT, 1, 1_000_000));
        }
        List<Long> overQuotaIds = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            overQuotaIds.add(node.submitRequest(BalancerHarness.IDEMPOTENT, 0, 1_000_000));
        }
        long withinQuotaId = node.submitRequest(BalancerHarness.IDEMPOTENT, 1, 1_000_000);
        firstIds.forEach(id -> node.endAttempt(id, AttemptResult.OK, 1_000));
        assertEquals(
                List.of(overQuotaIds.get(0), withinQuotaId, overQuotaIds.get(1), overQuotaIds.get(2)),
                node.sentAttempts.stream()
                        .skip(4)
                        .limit(4)
                        .map(BalancerHarness.SentAttempt::requestId)
                        .toList());
    }

    @Test
    void sendsOneRequestAtATimeWhenLimitIsBelowOne() {
        BalancerSettings.Builder settings = BalancerHarness.createSettings();
        settings.nodes(8);
        BalancerHarness node = new BalancerHarness(settings, 3).withServers(1);
        node.runRequest(BalancerHarness.IDEMPOTENT, AttemptResult.OK, 150_000);
        long firstId = node.submitRequest(BalancerHarness.IDEMPOTENT);
        long secondId = node.submitRequest(BalancerHarness.IDEMPOTENT);
        assertEquals(1, node.countAttempts(firstId));
        assertEquals(0, node.countAttempts(secondId));
        node.endAttempt(firstId, AttemptResult.OK, 20_000);
        assertEquals(1, node.countAttempts(secondId));
    }

    @Test
    void selectsServersByCapacityWeight() {
        BalancerHarness node = new BalancerHarness();
        node.updateEndpoints(
                UpdateKind.CACHED,
                List.of(
                        new ServerEntry("large", 0, 0, ServerState.READY, 2, 0),
                        new ServerEntry("small", 0, 0, ServerState.READY, 1, 0),
                        new ServerEntry("same", 0, 0, ServerState.READY, 1, 0)));
        Map<String, Integer> sentByServer = new HashMap<>();
        for (int i = 0; i < 3_000; i++) {
            sentByServer.merge(node.runRequest(BalancerHarness.IDEMPOTENT, AttemptResult.OK, 1_000), 1, Integer::sum);
        }
        assertTrue(sentByServer.get("large") > 1_200, sentByServer.toString());
        assertTrue(Math.abs(sentByServer.get("small") - sentByServer.get("same")) < 150, sentByServer.toString());
    }

    @Test
    void limitsRequestsInFlightToSumOfLimitsAndBurst() {
        // Guards against two faults. If each node had one attempt in flight at each server, all servers would be
        // overloaded. If a node was limited to the sum of its limits, without a burst, it would queue requests while
        // servers are idle.
        BalancerSettings.Builder settings = BalancerHarness.createSettings();
        settings.nodes(32);
        BalancerHarness node = new BalancerHarness(settings, 3).withServers(32);
        for (int i = 0; i < 16; i++) {
            node.runRequest(BalancerHarness.IDEMPOTENT, AttemptResult.OK, 1_000);
        }
        for (int i = 0; i < 32; i++) {
            node.submitRequest(BalancerHarness.IDEMPOTENT);
        }
        assertEquals(16 + 9, node.sentAttempts.size());
    }

    @Test
    void responsesFarAboveMinimumLatencyLowerLimitDespiteLongObjective() {
        BalancerSettings.Builder settings = BalancerHarness.createSettings();
        settings.addClass(new RequestClass(
                "patient", 20_000_000, 0, 30_000_000, 1, 0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, false));
        BalancerHarness node = new BalancerHarness(settings, 3).withServers(1);
        for (int i = 0; i < 80; i++) {
            node.runRequest(5, AttemptResult.OK, i < 40 ? 10_000 : 200_000);
        }
        int before = node.sentAttempts.size();
        for (int i = 0; i < 4; i++) {
            node.submitRequest(5, 30_000_000);
        }
        assertEquals(1, node.sentAttempts.size() - before);
    }

    /**
     * Guards against queued requests that are rejected only when less than half the mean latency is left: overloaded
     * servers would then mostly respond late. If servers are slower than the latency objective, requests may still be
     * queued for a while.
     */
    @ParameterizedTest
    @CsvSource({"50000, 80000", "250000, 30000"})
    void rejectsQueuedRequestWhileClientCanStillRetry(long meanLatencyUs, long minQueuedUs) {
        BalancerHarness node = new BalancerHarness().withServers(1);
        for (int i = 0; i < 40; i++) {
            node.runRequest(BalancerHarness.NON_IDEMPOTENT, AttemptResult.OK, meanLatencyUs);
        }
        node.updateEndpoints(UpdateKind.SNAPSHOT, List.of());
        long id = node.submitRequest(BalancerHarness.NON_IDEMPOTENT);
        node.advance(minQueuedUs);
        assertFalse(node.rejectedIds.contains(id));
        node.advance(30_000);
        assertTrue(node.rejectedIds.contains(id));
    }

    @Test
    void throttlesWhenAllResponsesAreLateAndRecoversQuickly() {
        // Guards against nodes that do not throttle: they keep servers overloaded that have become slow under load.
        BalancerHarness node = new BalancerHarness().withServers(10);
        runRequests(node, 60, 20_000);
        int sentWhileLate = runRequests(node, 200, 300_000);
        assertTrue(sentWhileLate <= 45, "sent while all responses are late: " + sentWhileLate);
        runRequests(node, 150, 20_000);
        int sentAfterRecovery = runRequests(node, 100, 20_000);
        assertTrue(sentAfterRecovery >= 50, "sent once responses are fast again: " + sentAfterRecovery);
    }

    /** Submits requests at intervals of 20 ms, completes all attempts, and returns the number of attempts sent. */
    private static int runRequests(BalancerHarness node, int requests, long latencyUs) {
        int before = node.sentAttempts.size();
        int completed = before;
        for (int i = 0; i < requests; i++) {
            node.submitRequest(BalancerHarness.IDEMPOTENT);
            for (; completed < node.sentAttempts.size(); completed++) {
                node.endAttempt(node.sentAttempts.get(completed).requestId(), AttemptResult.OK, latencyUs);
            }
            node.advance(20_000);
        }
        return node.sentAttempts.size() - before;
    }

    @Test
    void retriesWithinZoneFirstIfCrossingZonesHasPrice() {
        // Guards against a retry on a server of another zone while a server of the node's zone is free.
        BalancerSettings.Builder settings = BalancerHarness.createSettings();
        settings.crossZonePrice(0.01);
        BalancerHarness node = new BalancerHarness(settings, 3);
        List<ServerEntry> entries = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            entries.add(new ServerEntry("s" + i, i % 3 == 0 ? 0 : 1, 0, ServerState.READY, 1, 0));
        }
        node.updateEndpoints(UpdateKind.CACHED, entries);
        long id = node.submitRequest(BalancerHarness.IDEMPOTENT);
        List<String> local = List.of("s0", "s3");
        assertTrue(local.contains(node.lastAttempt(id).server()));
        node.endAttempt(id, AttemptResult.OVERLOADED, 1_000);
        assertTrue(local.contains(node.lastAttempt(id).server()));
        node.endAttempt(id, AttemptResult.OVERLOADED, 1_000);
        assertFalse(local.contains(node.lastAttempt(id).server()));
    }
}
