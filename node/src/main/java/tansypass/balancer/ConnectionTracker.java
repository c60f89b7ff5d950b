package tansypass.balancer;

/** Estimates, from the ends of attempts, which servers this node has an idle connection to. */
final class ConnectionTracker {
    private final long idleTimeoutUs;

    ConnectionTracker(BalancerSettings settings) {
        idleTimeoutUs = settings.idleTimeoutUs();
    }

    /** An attempt takes an idle connection if there is one. */
    void recordSend(Server server) {
        server.idleConnections.remove();
    }

    /** A response leaves its connection idle. */
    void recordReusable(Server server, long nowUs) {
        server.idleConnections.add(nowUs, nowUs - idleTimeoutUs);
    }

    boolean hasIdle(Server server, long nowUs) {
        return server.idleConnections.hasAny(nowUs - idleTimeoutUs);
    }
}
