package tansypass.balancer;

/** Estimates from the outcomes of attempts whether this node has an idle connection to a server. */
final class ConnectionTracker {
    private final long idleTimeoutUs;

    ConnectionTracker(BalancerSettings settings) {
        idleTimeoutUs = settings.idleTimeoutUs();
    }

    /** Records that an attempt is sent, which uses an idle connection if there is one. */
    void recordSend(Server server) {
        server.idleConnections.remove();
    }

    /** Records that an attempt has ended and its connection is idle. */
    void recordReusable(Server server, long nowUs) {
        server.idleConnections.add(nowUs, nowUs - idleTimeoutUs);
    }

    boolean hasIdle(Server server, long nowUs) {
        return server.idleConnections.hasAny(nowUs - idleTimeoutUs);
    }
}
