package tansypass.balancer;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Probe-based server selection, used if the cluster has more nodes than servers. Two servers are drawn and probed, and
 * the request goes to the first one that responds. This is a departure from ServiceQ.
 */
final class ProbeSelection {
    /** Longest wait for probes, as a share of the mean latency of the request's class. */
    private static final double MAX_WAIT_SHARE = 0.25;

    /** Share of late responses that probes are expected to prevent. */
    private static final double EXPECTED_PREVENTED_SHARE = 0.5;

    /**
     * Two servers are not probed above this sum of failure rates: a server that fails fast also answers probes fast.
     */
    private static final double MAX_FAILURE_RATE_SUM = 0.1;

    /** Number of servers that are drawn and probed for a request. */
    private static final int PROBES_PER_REQUEST = 2;

    private final BalancerSettings settings;
    private final LoadBalancerActions actions;
    private final ClusterSize clusterSize;
    private final EndpointTable servers;
    private final ResponseStatistics responses;
    private final RelativeLatencies latencies;
    private final ServerAdmission admission;
    private final ServerSelector selector;
    private final AttemptSender sender;
    private final AdmissionQueue queue;
    private final PriorityQueue<PendingRequest> waitingRequests =
            new PriorityQueue<>(Comparator.comparingLong(PendingRequest::probeDeadlineAtUs));

    ProbeSelection(
            BalancerSettings settings,
            LoadBalancerActions actions,
            ClusterSize clusterSize,
            EndpointTable servers,
            ResponseStatistics responses,
            RelativeLatencies latencies,
            ServerAdmission admission,
            ServerSelector selector,
            AttemptSender sender,
            AdmissionQueue queue) {
        this.settings = settings;
        this.actions = actions;
        this.clusterSize = clusterSize;
        this.servers = servers;
        this.responses = responses;
        this.latencies = latencies;
        this.admission = admission;
        this.selector = selector;
        this.sender = sender;
        this.queue = queue;
    }

    /**
     * Probes two servers for a request if the probes are worth their price. Returns whether the request waits for them.
     */
    boolean tryStart(PendingRequest pending, long nowUs) {
        double meanUs = responses.meanLatencyUs(pending);
        long waitUs = Math.max(3 * settings.tickUs(), (long) (MAX_WAIT_SHARE * meanUs));
        if (meanUs == 0 || !isEnabled()) {
            return false;
        }
        if (selector.findHalfOpenOrNull(pending, nowUs) != null) {
            return false;
        }
        if (pending.objectiveAtUs() - nowUs < 2 * waitUs || isTooExpensive(pending)) {
            return false;
        }
        Server first = selector.drawByZoneOrNull(pending, nowUs);
        if (first == null) {
            return false;
        }
        Server second = selector.drawByZoneOrNull(pending, nowUs);
        if (second == null || !canCompare(first, second)) {
            return false;
        }
        pending.awaitProbes(PROBES_PER_REQUEST, nowUs + waitUs);
        waitingRequests.add(pending);
        probe(first, pending);
        probe(second, pending);
        return true;
    }

    /**
     * Returns whether probes are allowed and useful. They are useful if nodes outnumber servers, since each node then
     * sends to a server so rarely that its statistics of that server are outdated.
     */
    private boolean isEnabled() {
        return settings.probes() && clusterSize.nodes() > servers.ready().length;
    }

    private boolean isTooExpensive(PendingRequest pending) {
        double savings = queue.relativeWeight(pending) * responses.lateRatio() * EXPECTED_PREVENTED_SHARE;
        return savings < PROBES_PER_REQUEST * settings.probePrice();
    }

    private static boolean canCompare(Server first, Server second) {
        return second != first
                && first.inFlight() == second.inFlight()
                && first.failureRate.value() + second.failureRate.value() <= MAX_FAILURE_RATE_SUM;
    }

    private void probe(Server server, PendingRequest pending) {
        server.probe.addWaiter(pending);
        if (!server.probe.isInFlight()) {
            server.probe.start();
            actions.probe(server.id());
        }
    }

    /** Records the result of a server's probe, and sends or dispatches the requests that waited for it. */
    void onResult(Server server, AttemptResult result, long latencyUs, long nowUs) {
        boolean succeeded = result == AttemptResult.OK;
        if (succeeded) {
            latencies.recordProbe(server, latencyUs, nowUs);
        } else {
            // A failed probe neither counts as an error nor ejects: a congested server drops probes and still serves.
            latencies.record(server, ConcurrencyLimiter.CONGESTED_LATENCY_MULTIPLE, nowUs);
        }
        for (PendingRequest pending : server.probe.finish()) {
            if (pending.isAwaitingProbes()) {
                onProbeEnded(pending, server, succeeded, nowUs);
            }
        }
    }

    /** Sends a waiting request to a server whose probe has succeeded, or dispatches it if no probe is left. */
    private void onProbeEnded(PendingRequest pending, Server server, boolean succeeded, long nowUs) {
        if (succeeded && admission.tryAdmit(pending, server, nowUs)) {
            sender.send(pending, server, nowUs);
            return;
        }
        pending.recordProbeFailed();
        if (!pending.hasProbesInFlight()) {
            queue.dispatch(pending, nowUs);
        }
    }

    /** Dispatches the requests whose wait for probes has timed out. */
    void dispatchExpired(long nowUs) {
        while (nextDeadlineAtUs() <= nowUs) {
            PendingRequest pending = waitingRequests.poll();
            queue.dispatch(pending, nowUs);
        }
    }

    /** Returns the time at which the first waiting request times out, {@link Long#MAX_VALUE} if none waits. */
    long nextDeadlineAtUs() {
        while (!waitingRequests.isEmpty() && !waitingRequests.peek().isAwaitingProbes()) {
            waitingRequests.poll();
        }
        return waitingRequests.isEmpty()
                ? Long.MAX_VALUE
                : waitingRequests.peek().probeDeadlineAtUs();
    }
}
