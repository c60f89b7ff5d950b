package tansypass.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Preference for servers with an idle connection, while a new connection would be reused rarely before it expires. */
class ConnectionReuseTest {
    private static final long IDLE_US = 10_000_000;
    private static final int SERVERS = 10;

    private static BalancerHarness createNode() {
        BalancerSettings.Builder settings = BalancerHarness.createSettings();
        settings.connectionIdleUs(IDLE_US);
        return new BalancerHarness(settings, 7).withServers(SERVERS);
    }

    /** Runs requests one after the other at this interval, and returns the servers that got them. */
    private static Set<String> runAndCollectServers(
            BalancerHarness node, int requests, AttemptResult result, long intervalUs) {
        Set<String> usedServers = new HashSet<>();
        for (int i = 0; i < requests; i++) {
            usedServers.add(node.runRequest(BalancerHarness.IDEMPOTENT, result, 1_000));
            node.advance(intervalUs - 1_000);
        }
        return usedServers;
    }

    @Test
    void nodeWithFewRequestsStaysWithConnectedServers() {
        BalancerHarness node = createNode();
        // Two requests per second: each of ten servers gets one in five seconds, which is the node's idle timeout.
        runAndCollectServers(node, 20, AttemptResult.OK, 500_000);
        Set<String> firstServers = runAndCollectServers(node, 20, AttemptResult.OK, 500_000);
        Set<String> newServers = runAndCollectServers(node, 20, AttemptResult.OK, 500_000);
        assertTrue(firstServers.size() < SERVERS, firstServers.toString());
        newServers.removeAll(firstServers);
        assertTrue(newServers.size() <= 1, "newly connected: " + newServers);
    }

    @Test
    void busyNodeUsesAllServers() {
        assertEquals(
                SERVERS,
                runAndCollectServers(createNode(), 2_000, AttemptResult.OK, 2_000)
                        .size());
    }

    @Test
    void expiredConnectionIsNotAvailable() {
        ExpiringCounter connections = new ExpiringCounter();
        connections.add(1_000, 0);
        assertTrue(connections.hasAny(1_000));
        assertTrue(!connections.hasAny(1_001), "expired");
        connections.add(9_000, 5_000);
        connections.remove();
        assertTrue(!connections.hasAny(0), "the older connection had expired, so only one was left");
    }

    @Test
    void onlyIdleConnectionsAreAvailable() {
        ExpiringCounter connections = new ExpiringCounter();
        connections.remove();
        connections.add(1_000, 0);
        connections.add(2_000, 0);
        connections.remove();
        assertTrue(connections.hasAny(2_000));
        connections.remove();
        assertTrue(!connections.hasAny(0));
    }
}
