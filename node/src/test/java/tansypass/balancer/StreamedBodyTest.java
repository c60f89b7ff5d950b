package tansypass.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Requests and responses with bodies that take a long time to relay. */
class StreamedBodyTest {

    @Test
    void relayedResponseDoesNotCountAsInFlight() {
        BalancerHarness node = new BalancerHarness().withServers(2);
        long id = node.submitRequest(BalancerHarness.IDEMPOTENT);
        String server = node.lastAttempt(id).server();
        node.advance(10_000);
        node.balancer.onResponseStarted(node.nowUs, id, 0);
        // Both servers are equally loaded and get requests; a busy server would get none.
        assertGetsFairShare(node, server);
        // The end of the response, seconds later, is not a slow response and does not release capacity a second time.
        node.advance(3_000_000);
        node.balancer.onOutcome(node.nowUs, new AttemptOutcome(id, 0, AttemptResult.OK, 3_010_000, true, null));
        String busy =
                node.lastAttempt(node.submitRequest(BalancerHarness.IDEMPOTENT)).server();
        for (int i = 0; i < 20; i++) {
            assertNotEquals(busy, node.runRequest(BalancerHarness.IDEMPOTENT, AttemptResult.OK, 10_000));
        }
    }

    @Test
    void truncatedResponseIsFailureWithoutRetry() {
        BalancerHarness node = new BalancerHarness().withServers(3);
        node.balancer.onResponseStarted(node.nowUs, 999, 0);
        for (int i = 0; i < 12; i++) {
            long id = node.submitRequest(BalancerHarness.IDEMPOTENT);
            node.balancer.onResponseStarted(node.nowUs, id, 0);
            node.balancer.onResponseStarted(node.nowUs, id, 0);
            node.balancer.onResponseStarted(node.nowUs, id, 7);
            node.advance(50_000);
            node.balancer.onOutcome(node.nowUs, new AttemptOutcome(id, 0, AttemptResult.RESET, 50_000, true, null));
            assertEquals(1, node.countAttempts(id));
        }
        assertEquals(
                1,
                node.balancer.excludedServerCount(),
                "the server that sent four of the twelve truncated responses must be ejected");
        assertEquals(List.of(), node.rejectedIds);
        assertEquals(List.of(), node.failedIds);
    }

    /** Asserts that one of two servers gets a fair share of 40 requests. */
    private static void assertGetsFairShare(BalancerHarness node, String server) {
        int count = 0;
        for (int i = 0; i < 40; i++) {
            String selected = node.runRequest(BalancerHarness.IDEMPOTENT, AttemptResult.OK, 10_000);
            count += selected.equals(server) ? 1 : 0;
        }
        assertTrue(count > 5 && count < 35, count + " of 40");
    }

    private static long startUpload(BalancerHarness node, long id) {
        node.balancer.onUploadStarted(
                node.nowUs, new BalancerRequest(id, BalancerHarness.IDEMPOTENT, -1, 1_000_000, 0, false));
        return id;
    }

    @Test
    void uploadIsNotInFlightAndHasNoDeadlineUntilComplete() {
        BalancerHarness node = new BalancerHarness().withServers(2);
        long id = startUpload(node, 500);
        String server = node.lastAttempt(id).server();
        assertEquals(Long.MAX_VALUE, node.lastAttempt(id).timeoutAtUs());
        // The upload goes on after its latency objective and deadline, and its server still counts as idle.
        node.advance(5_000_000);
        assertGetsFairShare(node, server);
        node.balancer.onUploadCompleted(node.nowUs, id);
        node.balancer.onUploadCompleted(node.nowUs, id);
        node.balancer.onUploadCompleted(node.nowUs, 999);
        assertEquals(List.of(id + "/0 at " + (node.nowUs + 1_000_000)), node.attemptDeadlines);
        for (int i = 0; i < 10; i++) {
            assertNotEquals(
                    server,
                    node.runRequest(BalancerHarness.IDEMPOTENT, AttemptResult.OK, 10_000),
                    "the server is busy now");
        }
        // The deadline starts with the end of the upload: a failure is then retried at the next server.
        node.balancer.onOutcome(node.nowUs, new AttemptOutcome(id, 0, AttemptResult.ERROR, 1_000, false, null));
        assertEquals(2, node.countAttempts(id));
        assertTrue(node.lastAttempt(id).timeoutAtUs() < Long.MAX_VALUE);
    }

    @Test
    void requestWithBodyNoLongerReplayableIsNotRetried() {
        BalancerHarness node = new BalancerHarness().withServers(3);
        long replayable = startUpload(node, 500);
        node.balancer.onOutcome(
                node.nowUs, new AttemptOutcome(replayable, 0, AttemptResult.CONNECT_FAILED, 1_000, false, null));
        assertEquals(2, node.countAttempts(replayable));
        long notReplayable = startUpload(node, 501);
        node.balancer.onBodyNotReplayable(node.nowUs, notReplayable);
        node.balancer.onBodyNotReplayable(node.nowUs, 999);
        node.balancer.onOutcome(
                node.nowUs, new AttemptOutcome(notReplayable, 0, AttemptResult.CONNECT_FAILED, 1_000, false, null));
        assertEquals(1, node.countAttempts(notReplayable));
        assertEquals(List.of(notReplayable), node.rejectedIds);
    }

    @Test
    void clientDisconnectDuringUploadLeavesNoState() {
        BalancerHarness node = new BalancerHarness().withServers(2);
        long id = startUpload(node, 500);
        String server = node.lastAttempt(id).server();
        node.balancer.onClientDisconnect(node.nowUs, id);
        assertEquals(List.of(id + "/0"), node.cancelledAttempts);
        node.balancer.onOutcome(node.nowUs, new AttemptOutcome(id, 0, AttemptResult.CANCELLED, 1_000, true, null));
        assertGetsFairShare(node, server);
    }
}
