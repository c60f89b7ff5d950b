package tansypass.cluster.membership;

/**
 * Counts the nodes of the cluster that serve clients, from views that are recent enough, and reports each change of the
 * counts. The quota that follows from them is up to the listener. Not thread-safe.
 */
public final class ClusterSizeEstimator {
    /** An older view is not used, microseconds. */
    public static final long MAX_VIEW_AGE_US = 5_000_000;

    private final Listener listener;
    private int serving;
    private int failed;

    /** Receives each change of the counts, on the thread that calls {@link #update}. */
    public interface Listener {
        /**
         * The counts have changed.
         *
         * @param serving nodes that are present and serve clients; 0 if that is not known
         * @param failed nodes that served clients when they failed, and are not reaped
         */
        void onClusterSize(int serving, int failed);
    }

    /** Creates an estimator that has seen no view; the listener is called by the thread that updates it. */
    public ClusterSizeEstimator(Listener listener) {
        this.listener = listener;
    }

    /**
     * Counts a view.
     *
     * @param ageUs how old it is, microseconds
     */
    public void update(MembershipView view, long ageUs) {
        boolean isUsable = view.joined() && ageUs <= MAX_VIEW_AGE_US;
        int nowServing = isUsable ? view.servingCount(Role.NODE) : 0;
        int nowFailed = isUsable ? view.failedWhileServingCount(Role.NODE) : 0;
        if (nowServing != serving || nowFailed != failed) {
            serving = nowServing;
            failed = nowFailed;
            listener.onClusterSize(serving, failed);
        }
    }
}
