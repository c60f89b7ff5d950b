package tansypass.cli;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import tansypass.cluster.membership.ClusterSizeEstimator;
import tansypass.cluster.transport.ClusterMember;
import tansypass.node.process.ClusterView;

/**
 * Connects a node with its cluster member. Reports the cluster size in the member's view to the node, which derives its
 * quota from the size, and reports to the cluster whether the node serves clients. If the view is too old, the size is
 * reported as unknown.
 */
final class ClusterMemberAdapter implements ClusterView {
    private static final long POLL_INTERVAL_MS = 100;

    private final ClusterMember member;

    ClusterMemberAdapter(ClusterMember member) {
        this.member = member;
    }

    @Override
    public void setSizeListener(SizeListener listener) {
        ScheduledExecutorService poller = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "cluster-size");
            thread.setDaemon(true);
            return thread;
        });
        ClusterSizeEstimator estimator = new ClusterSizeEstimator(listener::onClusterSize);
        poller.scheduleWithFixedDelay(
                () -> member.view().ifPresent(view -> estimator.update(view, member.viewAgeUs())),
                POLL_INTERVAL_MS,
                POLL_INTERVAL_MS,
                TimeUnit.MILLISECONDS);
    }

    @Override
    public void setServing(boolean serving) {
        member.setServing(serving);
    }
}
