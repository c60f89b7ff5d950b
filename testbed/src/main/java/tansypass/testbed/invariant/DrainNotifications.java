package tansypass.testbed.invariant;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;

/**
 * Since when each node counts as notified that a server is draining or terminated. Times are microseconds since the
 * load began.
 */
final class DrainNotifications {
    /** After this time discovery counts as having notified every node (PROTOCOL, figures). */
    private static final long NOTIFIED_AT_LATEST_US = 6_000_000;

    private final int nodes;
    private final Map<String, Long> notifiedUs = new HashMap<>();
    /** Servers that are draining by the list as it stands, whether nodes were notified or not. */
    private final Set<Integer> draining = new TreeSet<>();

    DrainNotifications(int nodes) {
        this.nodes = nodes;
    }

    static String key(int node, int server) {
        return node + ">" + server;
    }

    /** Discovery has written to a node that a server is draining, or that it is back. */
    void notified(long nowUs, int node, int server, boolean isDraining) {
        if (isDraining) {
            notifiedUs.merge(key(node, server), nowUs, Math::min);
        } else {
            notifiedUs.remove(key(node, server));
        }
    }

    /** The list has changed: every node counts as notified some time later. */
    void listed(long nowUs, int server, boolean isDraining) {
        if (isDraining) {
            draining.add(server);
        } else {
            draining.remove(server);
        }
        for (int node = 0; node < nodes; node++) {
            String key = key(node, server);
            if (isDraining) {
                notifiedUs.putIfAbsent(key, nowUs + NOTIFIED_AT_LATEST_US);
            } else if (notifiedUs.getOrDefault(key, nowUs) > nowUs) {
                // It is back before the node counts as notified that it was draining.
                notifiedUs.remove(key);
            }
        }
    }

    /** A node's new process was not notified of anything yet. */
    void nodeStarted(long nowUs, int node) {
        notifiedUs.keySet().removeIf(key -> key.startsWith(node + ">"));
        draining.forEach(server -> notifiedUs.put(key(node, server), nowUs + NOTIFIED_AT_LATEST_US));
    }

    /** Returns when the node counts as notified; empty if it does not. */
    OptionalLong notifiedUs(int node, int server) {
        Long atUs = notifiedUs.get(key(node, server));
        return atUs == null ? OptionalLong.empty() : OptionalLong.of(atUs);
    }
}
