package tansypass.balancer;

/** Notifies a listener of the servers' health. Notifications that follow another one too soon are dropped. */
final class RateLimitedHealthNotifier {
    /** Shortest interval between two notifications. */
    private static final long MIN_INTERVAL_US = 1_000_000;

    private final ServerHealthListener listener;
    private long nextAtUs;

    RateLimitedHealthNotifier(ServerHealthListener listener) {
        this.listener = listener;
    }

    void notifyNoServerReady(int listedServers, long nowUs) {
        if (tryNotify(nowUs)) {
            listener.onNoServerReady(listedServers);
        }
    }

    void notifyServerEjected(String serverId, int failures, long nowUs) {
        if (tryNotify(nowUs)) {
            listener.onServerEjected(serverId, failures);
        }
    }

    void notifyServerRestored(String serverId, long nowUs) {
        if (tryNotify(nowUs)) {
            listener.onServerRestored(serverId);
        }
    }

    /** Returns whether a notification is allowed now. If it is, the next one is allowed after the interval. */
    private boolean tryNotify(long nowUs) {
        if (nowUs < nextAtUs) {
            return false;
        }
        nextAtUs = nowUs + MIN_INTERVAL_US;
        return true;
    }
}
