package tansypass.testbed.simulation;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import tansypass.cluster.runtime.Scheduler;

/** The pool of a simulated node's idle connections to servers. Used on the event queue's thread only. */
final class SimulatedConnectionPool {
    private final Scheduler scheduler;
    private final SimulatedNetwork network;
    private final long idleTimeoutUs;
    /** By server, the times at which its idle connections were released, the most recent first. */
    private final Map<String, Deque<Long>> releaseTimesUs = new HashMap<>();

    private boolean isClosed;

    /** Creates an empty pool, which does not reuse connections that were idle for {@code idleTimeoutUs} or longer. */
    SimulatedConnectionPool(Scheduler scheduler, SimulatedNetwork network, long idleTimeoutUs) {
        this.scheduler = scheduler;
        this.network = network;
        this.idleTimeoutUs = idleTimeoutUs;
    }

    /**
     * Takes the most recently used idle connection to a server and returns true, or returns false if there is none.
     * Closes the expired connections that it finds.
     */
    boolean acquire(String server) {
        Deque<Long> serverReleaseTimesUs = releaseTimesUs.getOrDefault(server, new ArrayDeque<>());
        while (!serverReleaseTimesUs.isEmpty()) {
            if (!isExpired(serverReleaseTimesUs.pop())) {
                return true;
            }
            network.closeIdleConnection(server);
        }
        return false;
    }

    private boolean isExpired(long releasedUs) {
        return scheduler.nowUs() - releasedUs >= idleTimeoutUs;
    }

    /** Adds a connection that is idle from now on. A closed pool ignores the call. */
    void release(String server) {
        if (!isClosed) {
            releaseTimesUs
                    .computeIfAbsent(server, missing -> new ArrayDeque<>())
                    .push(scheduler.nowUs());
        }
    }

    /** Removes the connections to a server, which has reset them. */
    void removeAll(String server) {
        releaseTimesUs.remove(server);
    }

    /** Closes all idle connections and keeps none that is released later. */
    void close() {
        isClosed = true;
        releaseTimesUs.forEach((server, serverReleaseTimesUs) ->
                serverReleaseTimesUs.forEach(releasedUs -> network.closeIdleConnection(server)));
    }
}
