package tansypass.balancer;

/** How many nodes share the servers, this one included: limits and quotas are divided among them. */
final class ClusterSize {
    private final int configuredNodes;
    private int nodes;

    /** The size by the settings, until an update. */
    ClusterSize(int configuredNodes) {
        this.configuredNodes = configuredNodes;
        nodes = configuredNodes;
    }

    int nodes() {
        return nodes;
    }

    /**
     * Takes over the membership's count of nodes.
     *
     * @param present nodes that serve clients; 0 if that is not known any more
     * @param lost nodes that are unreachable from here, which may still serve clients and so count as present
     */
    void update(int present, int lost) {
        if (present == 0) {
            nodes = configuredNodes;
            return;
        }
        // A count far below the configured one is more likely incomplete than true.
        int minNodes = (configuredNodes + 1) / 2;
        nodes = Math.max(minNodes, present + lost);
    }
}
