package tansypass.cluster.membership;

/**
 * Counts the nodes of the cluster that serve clients, from views that are recent enough, and notifies the listener of
 * each change of the counts. The listener derives the quota of this node from them. Not thread-safe.
 */
public final class ClusterSizeEstimator {
    /** The maximum age of a view that is used, in microseconds. */
    public static final long MAX_VIEW_AGE_US = 5_000_000;

    private final Listener listener;
    private int servingCount;
    private int failedCount;

    /** Receives each change of the counts, on the thread that calls {@link #update}. */
    public interface Listener {
        /**
         * Called when the counts have changed.
         *
         * @param serving the number of nodes that are present and serve clients; 0 if this is unknown
         * @param failed the number of nodes that served clients when they failed, and are not yet reaped
         */
        void onClusterSize(int serving, int failed);
    }

    /** Creates an estimator that has counted no view. */
    public ClusterSizeEstimator(Listener listener) {
        this.listener = listener;
    }

    /**
     * Counts the nodes in a view, and notifies the listener if the counts have changed.
     *
     * @param ageUs the age of the view in microseconds
     */
    public void update(MembershipView view, long ageUs) {
        boolean isUsable = view.joined() && ageUs <= MAX_VIEW_AGE_US;
        int newServingCount = isUsable ? view.servingCount(Role.NODE) : 0;
        int newFailedCount = isUsable ? view.failedWhileServingCount(Role.NODE) : 0;
        if (newServingCount != servingCount || newFailedCount != failedCount) {
            servingCount = newServingCount;
            failedCount = newFailedCount;
            listener.onClusterSize(servingCount, failedCount);
        }
    }
}
