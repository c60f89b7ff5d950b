package tansypass.balancer;

import java.util.SplittableRandom;

/**
 * Departure from ServiceQ, outlier ejection: a server that fails often gets only single half-open probes, further apart
 * each time one fails.
 */
final class OutlierEjection {
    /** Failures among the latest outcomes at which a server is ejected. */
    private static final int MIN_FAILURES = 4;

    /** Successes in a row that restore a server: one may be luck. */
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

    /** Counts a failure that is a sign of a fault, not of overload; it may eject the server. */
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

    /** At most half of the servers are ejected: if most fail, the cause is elsewhere, and the weights are enough. */
    private boolean isEjectionAllowed() {
        return 2 * (servers.ejectedCount() + 1) <= servers.ready().length;
    }

    private void eject(Server server, long nowUs) {
        server.ejection.eject(nowUs, random);
        servers.recountInUse();
    }

    /** Counts a success; it may restore an ejected server. */
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
