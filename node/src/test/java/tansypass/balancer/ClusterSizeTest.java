package tansypass.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** A node's share of the concurrency limits follows the reported number of nodes. */
class ClusterSizeTest {
    private static final int BURST_REQUESTS = 40;

    private static BalancerHarness createNode(int nodes) {
        BalancerSettings.Builder settings = BalancerHarness.createSettings();
        settings.nodes(nodes);
        return new BalancerHarness(settings, 7).withServers(4);
    }

    /** Submits 40 requests at the same time, and returns the number sent immediately. */
    private static long sendBurst(BalancerHarness node) {
        long[] ids = LongStream.range(0, BURST_REQUESTS)
                .map(i -> node.submitRequest(BalancerHarness.IDEMPOTENT))
                .toArray();
        return LongStream.of(ids).filter(id -> node.countAttempts(id) > 0).count();
    }

    @Test
    void shareGrowsWhenNodesLeave() {
        BalancerHarness unchangedNode = createNode(4);
        BalancerHarness halfCluster = createNode(4);
        BalancerHarness wholeCluster = createNode(4);
        halfCluster.balancer.onClusterSize(halfCluster.nowUs, 2, 0);
        wholeCluster.balancer.onClusterSize(wholeCluster.nowUs, 4, 0);
        long initialBurst = sendBurst(unchangedNode);
        assertEquals(initialBurst, sendBurst(wholeCluster), "the same number changes nothing");
        assertEquals(2 * initialBurst, sendBurst(halfCluster));
    }

    @Test
    void dispatchesQueuedRequestsWhenShareGrows() {
        BalancerHarness node = createNode(4);
        long initialBurst = sendBurst(node);
        node.balancer.onClusterSize(node.nowUs, 2, 0);
        assertEquals(2 * initialBurst, node.sentAttempts.size());
    }

    @Test
    void unreachableNodesKeepTheirShare() {
        BalancerHarness partitionedNode = createNode(4);
        partitionedNode.balancer.onClusterSize(partitionedNode.nowUs, 2, 2);
        assertEquals(sendBurst(createNode(4)), sendBurst(partitionedNode));
    }

    @Test
    void shareIsBoundedWhenFewNodesAreVisible() {
        BalancerHarness lonelyNode = createNode(8);
        lonelyNode.balancer.onClusterSize(lonelyNode.nowUs, 1, 0);
        BalancerHarness halfCluster = createNode(8);
        halfCluster.balancer.onClusterSize(halfCluster.nowUs, 4, 0);
        assertEquals(sendBurst(halfCluster), sendBurst(lonelyNode));
    }

    @Test
    void unknownSizeFallsBackToSettings() {
        BalancerHarness node = createNode(4);
        node.balancer.onClusterSize(node.nowUs, 9, 0);
        node.balancer.onClusterSize(node.nowUs, 0, 0);
        assertEquals(sendBurst(createNode(4)), sendBurst(node));
    }

    @Test
    void learnedLimitsAreScaledAndKept() {
        BalancerHarness rescaledNode = createNode(4);
        for (int i = 0; i < 200; i++) {
            rescaledNode.runRequest(BalancerHarness.IDEMPOTENT, AttemptResult.OK, 1_000);
        }
        rescaledNode.balancer.onClusterSize(rescaledNode.nowUs, 8, 0);
        rescaledNode.balancer.onClusterSize(rescaledNode.nowUs, 4, 0);
        BalancerHarness unscaledNode = createNode(4);
        for (int i = 0; i < 200; i++) {
            unscaledNode.runRequest(BalancerHarness.IDEMPOTENT, AttemptResult.OK, 1_000);
        }
        long unscaledBurst = sendBurst(unscaledNode);
        assertTrue(unscaledBurst > 0);
        assertEquals((double) unscaledBurst, (double) sendBurst(rescaledNode), 1);
    }
}
