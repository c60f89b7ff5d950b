package tansypass.balancer;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/** The servers on the endpoint list, and totals over the servers in use, which are ready and not ejected. */
final class EndpointTable {
    private final ClusterSize clusterSize;
    private final SplittableRandom random;
    private final RateLimitedHealthNotifier notifier;
    private final Map<String, Server> byId = new HashMap<>();
    private final Set<Server> listed = new LinkedHashSet<>();
    private Server[] ready = new Server[0];
    private int ejectedCount;
    private int inFlight;
    private double totalLimit;

    EndpointTable(ClusterSize clusterSize, SplittableRandom random, RateLimitedHealthNotifier notifier) {
        this.clusterSize = clusterSize;
        this.random = random;
        this.notifier = notifier;
    }

    /** Applies an update of the endpoint list. */
    void update(UpdateKind kind, List<ServerEntry> entries, long nowUs) {
        if (kind != UpdateKind.DELTA) {
            listed.forEach(Server::markGone);
            listed.clear();
        }
        entries.forEach(entry -> merge(entry, nowUs));
        ready = listed.stream().filter(Server::isReady).toArray(Server[]::new);
        for (int i = 0; i < ready.length; i++) {
            ready[i].setReadyIndex(i);
        }
        if (ready.length == 0) {
            notifier.notifyNoServerReady(listed.size(), nowUs);
        }
        // Servers come and go as long as a node runs: forget removed servers that have no attempt in flight.
        byId.values().removeIf(server -> server.isGone() && server.inFlight() == 0);
        recountInUse();
    }

    private void merge(ServerEntry entry, long nowUs) {
        Server server = byId.computeIfAbsent(entry.id(), id -> new Server(id, clusterSize.nodes()));
        if (entry.state() == ServerState.GONE) {
            listed.remove(server);
        } else {
            listed.add(server);
        }
        if (entry.startedAtUs() > server.startedAtUs()) {
            // All nodes learn of a start at the same time. A random budget keeps them from sending all at once.
            double budget = random.nextDouble();
            server.restart(entry.startedAtUs(), clusterSize.nodes(), budget, nowUs);
        }
        server.update(entry);
    }

    /** Returns the server of this id, or null if there is none. */
    Server findOrNull(String id) {
        return byId.get(id);
    }

    /** Returns the number of servers on the list, including draining ones. */
    int listedCount() {
        return listed.size();
    }

    /** Returns all known servers: those on the list, and removed ones that still have attempts in flight. */
    Collection<Server> tracked() {
        return Collections.unmodifiableCollection(byId.values());
    }

    /** Returns the ready servers in list order, including ejected ones. Callers must not change the array. */
    Server[] ready() {
        return ready;
    }

    /** Returns the number of ready servers that are ejected. */
    int ejectedCount() {
        return ejectedCount;
    }

    /** Returns the number of attempts in flight at the servers in use. */
    int inFlight() {
        return inFlight;
    }

    /** Returns the sum of the concurrency limits of the servers in use. */
    double totalLimit() {
        return totalLimit;
    }

    /** Adds {@code change} to the number of attempts in flight at a server. */
    void addInFlight(Server server, int change) {
        server.addInFlight(change);
        if (server.isInUse()) {
            inFlight += change;
        }
    }

    /** Adds a change of a server's concurrency limit to the total. */
    void addToTotalLimit(Server server, double change) {
        if (server.isInUse()) {
            totalLimit += change;
        }
    }

    /** Recomputes the totals. Attempts that hang at an ejected or removed server do not use up the total limit. */
    void recountInUse() {
        totalLimit = 0;
        inFlight = 0;
        ejectedCount = 0;
        for (Server server : ready) {
            if (server.ejection.isEjected()) {
                ejectedCount++;
            } else {
                totalLimit += server.limit.value();
                inFlight += server.inFlight();
            }
        }
    }
}
