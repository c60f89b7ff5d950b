package tansypass.balancer;

/** Notifies a listener of the servers' health, and drops notifications that follow another one too soon. */
final class RateLimitedHealthNotifier {
    /** Least time between two notifications. */
    private static final long MIN_INTERVAL_US = 1_000_000;

    private final ServerHealthListener listener;
    private long nextAtUs;

    RateLimitedHealthNotifier(ServerHealthListener listener) {
        this.listener = listener;
    }

    void notifyNoServerReady(int listed, long nowUs) {
        if (tryNotify(nowUs)) {
            listener.onNoServerReady(listed);
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

    /** Returns whether a notification is due; if so, the next one is due after the interval. */
    private boolean tryNotify(long nowUs) {
        if (nowUs < nextAtUs) {
            return false;
        }
        nextAtUs = nowUs + MIN_INTERVAL_US;
        return true;
    }
}
