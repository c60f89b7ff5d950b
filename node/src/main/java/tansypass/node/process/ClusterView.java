package tansypass.node.process;

/** The node's connection to the cluster that it is a member of. Thread-safe; no method blocks. */
public interface ClusterView {

    /** Receives the cluster's size. */
    interface SizeListener {
        /**
         * Called on any thread when the size has changed; see {@link tansypass.balancer.LoadBalancer#onClusterSize} for
         * the values.
         */
        void onClusterSize(int present, int lost);
    }

    /** Sets the listener that is called at each change of the cluster's size from now on. */
    void setSizeListener(SizeListener listener);

    /** Publishes to the cluster whether this node serves clients. */
    void setServing(boolean serving);
}
