package tansypass.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Endpoint lists that are empty, contain duplicates, or contain thousands of servers. */
class EndpointUpdateTest {

    @Test
    void emptyListIsLoggedAndRequestsAreQueuedUntilNextList() {
        BalancerHarness node = new BalancerHarness().withServers(2).updateEndpoints(UpdateKind.SNAPSHOT, List.of());
        assertEquals(List.of("no server is ready, of 0 on the list"), node.logLines);
        long id = node.submitRequest(BalancerHarness.IDEMPOTENT);
        assertEquals(0, node.countAttempts(id));
        node.updateEndpoints(UpdateKind.SNAPSHOT, List.of(BalancerHarness.createServer("new")));
        assertEquals("new", node.lastAttempt(id).server());
        node.endAttempt(id, AttemptResult.OK, 1_000);
        long expired = node.updateEndpoints(UpdateKind.SNAPSHOT, List.of()).submitRequest(BalancerHarness.IDEMPOTENT);
        node.advance(2_000_000);
        assertEquals(List.of(expired), node.rejectedIds);
    }

    @Test
    void lastOfDuplicateEntriesApplies() {
        BalancerHarness node = new BalancerHarness();
        node.updateEndpoints(
                UpdateKind.SNAPSHOT,
                List.of(
                        BalancerHarness.createServer("a"),
                        BalancerHarness.createServer("b"),
                        BalancerHarness.createServer("a"),
                        new ServerEntry("b", 0, 0, ServerState.DRAINING, 1, 0)));
        assertEquals(2, node.balancer.serverCount());
        for (int i = 0; i < 20; i++) {
            assertEquals("a", node.runRequest(BalancerHarness.IDEMPOTENT, AttemptResult.OK, 1_000));
        }
        node.updateEndpoints(UpdateKind.DELTA, List.of(new ServerEntry("a", 0, 0, ServerState.GONE, 1, 0)));
        assertEquals(1, node.balancer.serverCount());
        assertEquals(0, node.countAttempts(node.submitRequest(BalancerHarness.IDEMPOTENT)));
    }

    @Test
    void addsAndRemovesThousandsOfServers() {
        BalancerHarness node = new BalancerHarness().withServers(5_000);
        assertEquals(5_000, node.balancer.serverCount());
        assertTrue(node.lastAttempt(node.submitRequest(BalancerHarness.IDEMPOTENT)) != null);
        List<ServerEntry> evenServers = new ArrayList<>();
        for (int i = 0; i < 5_000; i += 2) {
            evenServers.add(BalancerHarness.createServer("s" + i));
        }
        node.updateEndpoints(UpdateKind.SNAPSHOT, evenServers);
        assertEquals(2_500, node.balancer.serverCount());
        for (int i = 0; i < 100; i++) {
            assertEquals(
                    0,
                    Integer.parseInt(node.runRequest(BalancerHarness.IDEMPOTENT, AttemptResult.OK, 1_000)
                                    .substring(1))
                            % 2);
        }
    }
}
