package tansypass.testbed.invariant;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;

/**
 * Records the time from which each node counts as notified that a server is draining or terminated. Times are
 * microseconds since the load began.
 */
final class DrainNotifications {
    /** The time within which discovery notifies every node of a change, according to the platform's protocol. */
    private static final long MAX_NOTIFICATION_DELAY_US = 6_000_000;

    private final int nodeCount;
    private final Map<String, Long> notifiedUsByLink = new HashMap<>();
    /** Servers that are draining in the current endpoint list, whether or not nodes have been notified. */
    private final Set<Integer> drainingServers = new TreeSet<>();

    DrainNotifications(int nodeCount) {
        this.nodeCount = nodeCount;
    }

    static String linkKey(int node, int server) {
        return node + ">" + server;
    }

    /** Records that discovery has notified a node that a server is draining, or that it is ready again. */
    void recordNotified(long nowUs, int node, int server, boolean isDraining) {
        if (isDraining) {
            notifiedUsByLink.merge(linkKey(node, server), nowUs, Math::min);
        } else {
            notifiedUsByLink.remove(linkKey(node, server));
        }
    }

    /** Records a change of the endpoint list; every node counts as notified after the longest notification delay. */
    void recordListed(long nowUs, int server, boolean isDraining) {
        if (isDraining) {
            drainingServers.add(server);
        } else {
            drainingServers.remove(server);
        }
        for (int node = 0; node < nodeCount; node++) {
            String key = linkKey(node, server);
            if (isDraining) {
                notifiedUsByLink.putIfAbsent(key, nowUs + MAX_NOTIFICATION_DELAY_US);
            } else if (notifiedUsByLink.getOrDefault(key, nowUs) > nowUs) {
                // The server is ready again before the node counted as notified that it was draining.
                notifiedUsByLink.remove(key);
            }
        }
    }

    /** Records the start of a node's new process, which has not been notified of anything yet. */
    void recordNodeStarted(long nowUs, int node) {
        notifiedUsByLink.keySet().removeIf(key -> key.startsWith(node + ">"));
        drainingServers.forEach(
                server -> notifiedUsByLink.put(linkKey(node, server), nowUs + MAX_NOTIFICATION_DELAY_US));
    }

    /** Returns the time from which the node counts as notified; empty if there is none. */
    OptionalLong notifiedUs(int node, int server) {
        Long atUs = notifiedUsByLink.get(linkKey(node, server));
        return atUs == null ? OptionalLong.empty() : OptionalLong.of(atUs);
    }
}
