package tansypass.balancer;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks rule 4 of the protocol. In any overload window a node may send a server that is warming up no more than its
 * share of the server's present capacity, times the overload multiple.
 *
 * <p>The node's share of a warm server's capacity is its throughput divided by the capacity of all ready servers.
 */
final class SlowStartLimitChecker {
    private static final double PER_MILLE = 1e3;
    private static final double US_PER_S = 1e6;
    /** Largest assumed capacity of the ready servers, in warm servers. Many servers are removed at any time. */
    private static final double MAX_READY_CAPACITY = 3;
    /** Number of sends in a window by which a node may exceed its share by chance. */
    private static final int TOLERATED_SENDS = 2;

    /** A send to a server that is warming up, and the capacity of all ready servers at that time. */
    private record Send(long atUs, long readyCapacityPerMille) {}

    private final BalancerSettings settings;
    private final Map<ServerEntry, List<Send>> sendsByServer = new LinkedHashMap<>();

    SlowStartLimitChecker(BalancerSettings settings) {
        this.settings = settings;
    }

    /** Records a send if its server is warming up. */
    void onSend(long nowUs, ServerEntry server, Collection<ServerEntry> servers) {
        if (server.startedAtUs() > 0 && nowUs < server.startedAtUs() + settings.slowStartUs()) {
            sendsByServer
                    .computeIfAbsent(server, k -> new ArrayList<>())
                    .add(new Send(nowUs, readyCapacityPerMille(nowUs, servers)));
        }
    }

    /** Returns the smallest capacity that the ready servers may have, in thousandths of a warm server's. */
    private long readyCapacityPerMille(long nowUs, Collection<ServerEntry> servers) {
        return servers.stream()
                .filter(e -> e.state() == ServerState.READY)
                .mapToLong(e -> Math.round(PER_MILLE * smallestCapacity(nowUs, e)))
                .sum();
    }

    private double smallestCapacity(long nowUs, ServerEntry server) {
        if (server.startedAtUs() == 0) {
            return 1;
        }
        double initial = settings.slowStartCapacity();
        return Math.min(1, initial + (1 - initial) * (nowUs - server.startedAtUs()) / settings.slowStartUs());
    }

    /** Fails if the sends in any window exceed the limit, which depends on the node's served requests per second. */
    void assertSendsWithinLimit(double servedPerSecond) {
        sendsByServer.forEach((server, sends) -> {
            for (Send first : sends) {
                assertWindowWithinLimit(server, first.atUs(), sends, servedPerSecond);
            }
        });
    }

    private void assertWindowWithinLimit(ServerEntry server, long startUs, List<Send> sends, double servedPerSecond) {
        long endUs = startUs + settings.overloadWindowUs();
        List<Send> window = sends.stream()
                .filter(s -> s.atUs() >= startUs && s.atUs() < endUs)
                .toList();
        double limit = settings.overloadMultiple()
                * capacityAt(endUs, server)
                * servedPerSecond
                / readyCapacity(window)
                * settings.overloadWindowUs()
                / US_PER_S;
        assertTrue(window.size() - TOLERATED_SENDS <= limit, "rule 4: " + window.size() + " sends in one window");
    }

    private static double readyCapacity(List<Send> window) {
        long smallestPerMille =
                window.stream().mapToLong(Send::readyCapacityPerMille).min().getAsLong();
        return Math.min(MAX_READY_CAPACITY, smallestPerMille / PER_MILLE);
    }

    /** Returns the capacity of a server that is warming up, as a share of a warm server's. */
    private double capacityAt(long timeUs, ServerEntry server) {
        double progress = Math.min(1, (timeUs - server.startedAtUs()) / (double) settings.slowStartUs());
        return settings.slowStartCapacity() + (1 - settings.slowStartCapacity()) * progress;
    }
}
