package tansypass.balancer;

import java.util.SplittableRandom;

/**
 * Outlier ejection. A server that fails often gets only half-open probes, which are single requests. The interval
 * between them grows with each probe that fails. This is a departure from ServiceQ.
 */
final class OutlierEjection {
    /** Number of failures among the latest outcomes at which a server is ejected. */
    private static final int MIN_FAILURES = 4;

    /** Number of successes in a row that restore a server; a single one may be luck. */
    private static final int HALF_OPEN_SUCCESSES = 3;

    private final ClusterSize clusterSize;
    private final EndpointTable servers;
    private final ErrorWeights weights;
    private final SplittableRandom random;
    private final RateLimitedHealthNotifier notifier;

    OutlierEjection(
            ClusterSize clusterSize,
            EndpointTable servers,
            ErrorWeights weights,
            SplittableRandom random,
            RateLimitedHealthNotifier notifier) {
        this.clusterSize = clusterSize;
        this.servers = servers;
        this.weights = weights;
        this.random = random;
        this.notifier = notifier;
    }

    /** Records a failure that indicates a fault rather than overload, and may eject the server. */
    void recordFailure(Server server, long nowUs) {
        weights.addError(server);
        EjectionState state = server.ejection;
        state.recordFailure();
        if (state.isEjected()) {
            eject(server, nowUs);
        } else if (state.failures() >= MIN_FAILURES && isEjectionAllowed()) {
            notifier.notifyServerEjected(server.id(), state.failures(), nowUs);
            eject(server, nowUs);
        }
    }

    /**
     * Returns whether one more server can be ejected: at most half of the servers are. If most servers fail, the cause
     * is elsewhere, and the selection weights are enough to deal with it.
     */
    private boolean isEjectionAllowed() {
        return 2 * (servers.ejectedCount() + 1) <= servers.ready().length;
    }

    private void eject(Server server, long nowUs) {
        server.ejection.eject(nowUs, random);
        servers.recountInUse();
    }

    /** Records a success, and may restore the server if it is ejected. */
    void recordSuccess(Server server, long nowUs) {
        EjectionState state = server.ejection;
        state.recordSuccess(nowUs);
        if (!state.isEjected()) {
            weights.clearErrors(server);
        } else if (state.halfOpenSuccesses() >= HALF_OPEN_SUCCESSES) {
            notifier.notifyServerRestored(server.id(), nowUs);
            weights.clearErrors(server);
            server.resetHealth(clusterSize.nodes());
            servers.recountInUse();
        }
    }
}
