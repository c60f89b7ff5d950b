package tansypass.testbed.model;

import java.util.ArrayList;
import java.util.List;
import tansypass.cluster.runtime.Scheduler;

/**
 * The load balancer between clients and nodes, which selects ready nodes by round robin. It detects the death of a node
 * only after a delay. Not thread-safe.
 */
public final class ClientLoadBalancer {
    /** Returned by {@link #selectNode} if no node is ready. */
    public static final int NO_NODE = -1;

    private final Scheduler scheduler;
    private final long detectionDelayUs;
    private final List<Integer> readyNodes = new ArrayList<>();
    /** By node, the number of changes of its state; a scheduled detection is dropped if the state has changed since. */
    private final int[] changeCounts;

    private int nextIndex;

    /**
     * Creates a load balancer with no node ready.
     *
     * @param detectionDelayUs the time for which a dead node is still selected, in microseconds
     */
    public ClientLoadBalancer(Scheduler scheduler, int nodes, long detectionDelayUs) {
        this.scheduler = scheduler;
        this.detectionDelayUs = detectionDelayUs;
        changeCounts = new int[nodes];
    }

    /** Adds a node whose readiness check has succeeded. */
    public void nodeReady(int node) {
        changeCounts[node]++;
        if (!readyNodes.contains(node)) {
            readyNodes.add(node);
        }
    }

    /** Removes a node whose readiness check has failed, for example because it is draining. */
    public void nodeNotReady(int node) {
        changeCounts[node]++;
        readyNodes.remove(Integer.valueOf(node));
    }

    /** Removes a node whose process has died, once the detection delay is over. */
    public void nodeDied(int node) {
        int changeCount = ++changeCounts[node];
        scheduler.after(detectionDelayUs, () -> {
            if (changeCounts[node] == changeCount) {
                readyNodes.remove(Integer.valueOf(node));
            }
        });
    }

    /** Returns the node for the next request, or {@link #NO_NODE}. */
    public int selectNode() {
        return readyNodes.isEmpty() ? NO_NODE : readyNodes.get(nextIndex++ % readyNodes.size());
    }
}
