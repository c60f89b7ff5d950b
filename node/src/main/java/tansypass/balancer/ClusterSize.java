package tansypass.balancer;

/** The number of nodes that share the servers, including this one. Limits and quotas are divided among the nodes. */
final class ClusterSize {
    private final int configuredNodes;
    private int nodes;

    /** Creates a cluster size with the configured number of nodes, which applies until the first update. */
    ClusterSize(int configuredNodes) {
        this.configuredNodes = configuredNodes;
        nodes = configuredNodes;
    }

    int nodes() {
        return nodes;
    }

    /**
     * Replaces the number of nodes by that of the membership protocol.
     *
     * @param presentNodes number of nodes that serve clients; 0 if the number is unknown
     * @param lostNodes number of nodes that are unreachable from here; they count as present because they may still
     *     serve clients
     */
    void update(int presentNodes, int lostNodes) {
        if (presentNodes == 0) {
            nodes = configuredNodes;
            return;
        }
        // A number far below the configured one is more likely incomplete than correct.
        int minNodes = (configuredNodes + 1) / 2;
        nodes = Math.max(minNodes, presentNodes + lostNodes);
    }
}
