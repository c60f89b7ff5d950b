package tansypass.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Rules 1 to 3 of the protocol: final responses, retries and draining servers. */
class ProtocolRulesTest {

    private static ServerEntry createServer(String id, int zone, int cell, ServerState state) {
        return new ServerEntry(id, zone, cell, state, 1, 0);
    }

    /** Checks for each result of a first attempt that the request is retried, or fails. */
    @ParameterizedTest
    @CsvSource({
        "0, ERROR, retried",
        "0, OVERLOADED, retried",
        "0, TIMEOUT, retried",
        "0, CONNECT_FAILED, retried",
        "0, RESET, retried",
        "1, ERROR, retried",
        "1, OVERLOADED, retried",
        "1, TIMEOUT, retried",
        "1, CONNECT_FAILED, retried",
        "1, RESET, retried",
        "3, ERROR, retried",
        "3, OVERLOADED, retried",
        "3, TIMEOUT, retried",
        "3, CONNECT_FAILED, retried",
        "3, RESET, retried",
        "4, ERROR, failed",
        "4, OVERLOADED, retried",
        "4, TIMEOUT, failed",
        "4, CONNECT_FAILED, retried",
        "4, RESET, failed",
        "4, CANCELLED, failed",
        "4, NOT_SENT, retried"
    })
    void retriesOnlyAsIdempotencyAllows(int classIndex, AttemptResult result, String expected) {
        BalancerHarness node = new BalancerHarness().withServers(4);
        long id = node.submitRequest(classIndex);
        node.endAttempt(id, result, 1_000);
        assertEquals(expected.equals("retried") ? 2 : 1, node.countAttempts(id));
        assertEquals(expected.equals("failed") ? List.of(id) : List.of(), node.failedIds);
        assertEquals(List.of(), node.rejectedIds);
    }

    @Test
    void possiblyExecutedKeyedRequestIsRetriedWithinScope() {
        for (int classIndex : new int[] {BalancerHarness.KEYED_CELL, BalancerHarness.KEYED_ZONE}) {
            BalancerHarness node = new BalancerHarness();
            node.updateEndpoints(
                    UpdateKind.CACHED,
                    List.of(
                            createServer("a", 0, 1, ServerState.READY),
                            createServer("x", 1, 2, ServerState.READY),
                            createServer("b", 0, 1, ServerState.READY),
                            createServer("y", 1, 2, ServerState.READY)));
            long id = node.submitRequest(classIndex);
            String firstServer = node.lastAttempt(id).server();
            node.endAttempt(id, AttemptResult.RESET, 1_000);
            String secondServer = node.lastAttempt(id).server();
            assertEquals(2, node.countAttempts(id));
            assertTrue((firstServer + secondServer).matches("ab|ba|xy|yx"), firstServer + secondServer);
        }
    }

    @Test
    void keyedRequestKnownNotExecutedIsRetriedOutsideScope() {
        BalancerHarness node = new BalancerHarness();
        node.updateEndpoints(
                UpdateKind.CACHED,
                List.of(createServer("a", 0, 1, ServerState.READY), createServer("x", 1, 2, ServerState.READY)));
        long id = node.submitRequest(BalancerHarness.KEYED_CELL);
        node.endAttempt(id, AttemptResult.OVERLOADED, 1_000);
        assertEquals(2, node.countAttempts(id));
    }

    @Test
    void keyedRequestIsNotRetriedAfterDeduplicationWindow() {
        for (int classIndex : new int[] {BalancerHarness.KEYED_ALL, BalancerHarness.KEYED_CELL}) {
            BalancerHarness node =
                    new BalancerHarness(BalancerHarness.createSettingsWithResidualWeight(), 7).withServers(3);
            long id = node.submitRequest(classIndex);
            node.endAttempt(id, AttemptResult.ERROR, 400_001);
            assertEquals(1, node.countAttempts(id));
            assertEquals(classIndex == BalancerHarness.KEYED_ALL ? List.of(id) : List.of(), node.rejectedIds);
            assertEquals(classIndex == BalancerHarness.KEYED_ALL ? List.of() : List.of(id), node.failedIds);
        }
    }

    @Test
    void deduplicationWindowStartsAtFirstPossiblyExecutedAttemptAndIncludesConnectTimeout() {
        BalancerSettings.Builder settings = BalancerHarness.createSettingsWithResidualWeight();
        settings.connectTimeoutUs(50_000);
        BalancerHarness node = new BalancerHarness(settings, 7).withServers(4);
        long id = node.submitRequest(BalancerHarness.KEYED_ALL);
        node.endAttempt(id, AttemptResult.CONNECT_FAILED, 300_000);
        node.endAttempt(id, AttemptResult.ERROR, 300_000);
        assertEquals(3, node.countAttempts(id));
        node.endAttempt(id, AttemptResult.ERROR, 50_001);
        assertEquals(3, node.countAttempts(id), "retried although the connection may be opened only after the window");
    }

    @Test
    void timeoutAtDeadlineEndsRequestWithoutRetry() {
        BalancerHarness node = new BalancerHarness().withServers(3);
        long idempotentId = node.submitRequest(BalancerHarness.IDEMPOTENT, 100_000);
        long nonIdempotentId = node.submitRequest(BalancerHarness.NON_IDEMPOTENT, 100_000);
        node.endAttempt(idempotentId, AttemptResult.TIMEOUT, 100_000);
        node.endAttempt(nonIdempotentId, AttemptResult.TIMEOUT, 0);
        assertEquals(List.of(idempotentId), node.rejectedIds);
        assertEquals(List.of(nonIdempotentId), node.failedIds);
        node.advance(1_000_000);
        assertEquals(1, node.countAttempts(idempotentId));
    }

    @Test
    void attemptDeadlineIsNotAfterRequestDeadline() {
        BalancerHarness node = new BalancerHarness().withServers(3);
        long id = node.submitRequest(BalancerHarness.IDEMPOTENT, 123_000);
        assertEquals(node.nowUs + 123_000, node.lastAttempt(id).timeoutAtUs());
    }

    @Test
    void noFinalResponseAfterClientDisconnect() {
        BalancerHarness node = new BalancerHarness().withServers(1);
        long id = node.submitRequest(BalancerHarness.IDEMPOTENT);
        node.balancer.onClientDisconnect(node.nowUs, id);
        node.endAttempt(id, AttemptResult.ERROR, 1_000);
        node.advance(2_000_000);
        assertEquals(1, node.countAttempts(id));
        assertTrue(node.rejectedIds.isEmpty() && node.failedIds.isEmpty());
        node.balancer.onClientDisconnect(node.nowUs, id);
        node.balancer.onOutcome(node.nowUs, new AttemptOutcome(id, 0, AttemptResult.OK, 1, true, null));
    }

    @Test
    void drainingOrRemovedServerGetsNoRequests() {
        for (ServerState state : new ServerState[] {ServerState.DRAINING, ServerState.GONE}) {
            BalancerHarness node = new BalancerHarness().withServers(2);
            node.updateEndpoints(UpdateKind.DELTA, List.of(createServer("s0", 0, 0, state)));
            for (int i = 0; i < 50; i++) {
                assertEquals(
                        "s1",
                        node.runRequest(
                                BalancerHarness.NON_IDEMPOTENT,
                                i % 3 == 0 ? AttemptResult.ERROR : AttemptResult.OK,
                                1_000));
                node.advance(1_100_000);
            }
        }
    }

    @Test
    void removedServersLeaveNoState() {
        BalancerHarness node = new BalancerHarness().withServers(1);
        for (int i = 0; i < 500; i++) {
            node.updateEndpoints(UpdateKind.DELTA, List.of(BalancerHarness.createServer("t" + i)));
            node.runRequest(BalancerHarness.NON_IDEMPOTENT, AttemptResult.ERROR, 1_000);
            node.updateEndpoints(UpdateKind.DELTA, List.of(createServer("t" + i, 0, 0, ServerState.GONE)));
        }
        assertEquals(1, ((WeightedTwoChoicesLoadBalancer) node.balancer).trackedServerCount());
    }

    @Test
    void serverMissingFromSnapshotIsRemoved() {
        BalancerHarness node = new BalancerHarness().withServers(2);
        node.updateEndpoints(UpdateKind.SNAPSHOT, List.of(BalancerHarness.createServer("s1")));
        for (int i = 0; i < 20; i++) {
            assertEquals("s1", node.runRequest(BalancerHarness.IDEMPOTENT, AttemptResult.OK, 1_000));
        }
    }

    @Test
    void resubscribesWithinMaximumPollIntervalAfterFailures() {
        BalancerSettings.Builder settings = BalancerHarness.createSettings();
        settings.listPolling(true);
        BalancerHarness node = new BalancerHarness(settings, 1).withServers(1);
        assertEquals(1, node.subscriptionCount);
        for (int failures = 1; failures <= 6; failures++) {
            node.balancer.onDiscoveryFailure(node.nowUs);
            assertEquals(failures, node.subscriptionCount);
            node.advance(node.settings.maxPollIntervalUs() / 2);
            assertEquals(failures + 1, node.subscriptionCount);
        }
        node.updateEndpoints(UpdateKind.DELTA, List.of());
        node.advance(10 * node.settings.maxPollIntervalUs());
        assertEquals(7, node.subscriptionCount);
    }

    @Test
    void resubscribesIfSubscriptionGetsNoResponse() {
        BalancerSettings.Builder settings = BalancerHarness.createSettings();
        settings.listPolling(true);
        BalancerHarness node = new BalancerHarness(settings, 1).withServers(1);
        node.advance(node.settings.maxPollIntervalUs() - 1);
        assertTrue(node.subscriptionCount >= 2);
    }

    @Test
    void rejectsSettingsAndRequestsOutOfRange() {
        BalancerSettings.Builder settingsWithoutClass = BalancerSettings.builder();
        assertThrows(IllegalArgumentException.class, () -> new BalancerHarness(settingsWithoutClass, 1));
        BalancerSettings.Builder negativeDuration = BalancerHarness.createSettings();
        negativeDuration.slowStartUs(-1);
        assertThrows(IllegalArgumentException.class, () -> new BalancerHarness(negativeDuration, 1));
        BalancerSettings.Builder unknownZone = BalancerHarness.createSettings();
        unknownZone.localZone(9);
        assertThrows(IllegalArgumentException.class, () -> new BalancerHarness(unknownZone, 1));
        BalancerHarness node = new BalancerHarness().withServers(1);
        assertThrows(IllegalArgumentException.class, () -> node.submitRequest(99));
        assertThrows(
                IllegalArgumentException.class,
                () -> node.balancer.onRequest(node.nowUs, new BalancerRequest(5, 0, 7, 1_000, 0, false)));
        node.balancer.onRequest(node.nowUs, new BalancerRequest(6, 0, -1, 1_000_000, 0, false));
        assertThrows(
                IllegalArgumentException.class,
                () -> node.balancer.onRequest(node.nowUs, new BalancerRequest(6, 0, -1, 1_000_000, 0, false)));
    }
}
