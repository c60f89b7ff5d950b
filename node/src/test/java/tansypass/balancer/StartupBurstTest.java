package tansypass.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A new node of a large cluster sends no burst, because all other nodes may have started at the same time. */
class StartupBurstTest {
    private static final int NODES = 100;
    private static final int SERVERS = 60;

    private static BalancerHarness createNode() {
        BalancerSettings.Builder settings = BalancerHarness.createSettings();
        settings.nodes(NODES);
        return new BalancerHarness(settings, 7).withServers(SERVERS);
    }

    /** Submits ten requests at the same time, and returns the ids of those that were sent immediately. */
    private static List<Long> sendBurst(BalancerHarness node) {
        List<Long> sent = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            long id = node.submitRequest(BalancerHarness.IDEMPOTENT);
            if (node.countAttempts(id) > 0) {
                sent.add(id);
            }
        }
        return sent;
    }

    @Test
    void newNodeStaysWithinItsShareOfInitialLimits() {
        // The initial limit of four requests at each of 60 servers, divided by 100 nodes, is 2.4 requests per node.
        assertEquals(2, sendBurst(createNode()).size());
    }

    @Test
    void queuedRequestsAreDispatchedAsResponsesArrive() {
        BalancerHarness node = createNode();
        for (long id : sendBurst(node)) {
            node.endAttempt(id, AttemptResult.OK, 10_000);
        }
        assertEquals(4, node.sentAttempts.size());
    }

    @Test
    void burstCapacityGrowsWithResponses() {
        BalancerHarness node = createNode();
        for (int i = 0; i < 16; i++) {
            node.runRequest(BalancerHarness.IDEMPOTENT, AttemptResult.OK, 10_000);
        }
        assertTrue(sendBurst(node).size() >= 6);
    }
}
