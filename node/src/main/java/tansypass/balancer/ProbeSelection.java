package tansypass.balancer;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Departure from ServiceQ, probe-based selection: where nodes outnumber servers, two servers that are drawn get a
 * probe, and the request goes to the first that responds.
 */
final class ProbeSelection {
    /** A probe is waited for during this share of the mean latency of the request's class. */
    private static final double MAX_WAIT_SHARE = 0.25;

    /** Share of late responses that probing is expected to prevent. */
    private static final double EXPECTED_GAIN = 0.5;

    /** Sum of failure rates above which a pair is not probed: a server that fails fast responds to probes fast too. */
    private static final double MAX_FAILURE_RATE = 0.1;

    /** Servers that are drawn and probed for a request. */
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
    private final PriorityQueue<PendingRequest> waiting =
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

    /** Probes two servers for a request if that is worth its price; returns whether the request waits for them. */
    boolean tryStart(PendingRequest pending, long nowUs) {
        double meanUs = responses.meanLatencyUs(pending);
        long waitUs = Math.max(3 * settings.tickUs(), (long) (MAX_WAIT_SHARE * meanUs));
        if (meanUs == 0 || !isEnabled()) {
            return false;
        }
        if (selector.halfOpenServerOrNull(pending, nowUs) != null) {
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
        waiting.add(pending);
        probe(first, pending);
        probe(second, pending);
        return true;
    }

    /** Whether probes are allowed, and nodes so many that what this node knows of a server is too old. */
    private boolean isEnabled() {
        return settings.probes() && clusterSize.nodes() > servers.ready().length;
    }

    private boolean isTooExpensive(PendingRequest pending) {
        double savings = queue.relativeWeight(pending) * responses.lateRatio() * EXPECTED_GAIN;
        return savings < PROBES_PER_REQUEST * settings.probePrice();
    }

    private static boolean canCompare(Server first, Server second) {
        return second != first
                && first.inFlight() == second.inFlight()
                && first.failureRate.value() + second.failureRate.value() <= MAX_FAILURE_RATE;
    }

    private void probe(Server server, PendingRequest pending) {
        server.probe.addWaiter(pending);
        if (!server.probe.isInFlight()) {
            server.probe.start();
            actions.probe(server.id());
        }
    }

    /** The probe of a server has ended. */
    void onResult(Server server, AttemptResult result, long latencyUs, long nowUs) {
        boolean succeeded = result == AttemptResult.OK;
        if (succeeded) {
            latencies.recordProbe(server, latencyUs, nowUs);
        } else {
            // A probe counts no error and ejects no server: a congested server drops probes and still serves.
            latencies.record(server, ConcurrencyLimiter.CONGESTED_LATENCY_MULTIPLE, nowUs);
        }
        for (PendingRequest pending : server.probe.finish()) {
            if (pending.isAwaitingProbes()) {
                resolve(pending, server, succeeded, nowUs);
            }
        }
    }

    /** Sends a request that waits to a server whose probe has ended, or dispatches it if that was its last probe. */
    private void resolve(PendingRequest pending, Server server, boolean succeeded, long nowUs) {
        if (succeeded && admission.tryAdmit(pending, server, nowUs)) {
            sender.send(pending, server, nowUs);
            return;
        }
        pending.recordProbeFailed();
        if (!pending.hasProbesInFlight()) {
            queue.dispatch(pending, nowUs);
        }
    }

    /** Dispatches the requests whose probes have had no response in time. */
    void dispatchExpired(long nowUs) {
        while (nextDeadlineAtUs() <= nowUs) {
            PendingRequest pending = waiting.poll();
            queue.dispatch(pending, nowUs);
        }
    }

    /** The earliest deadline of the probes that are waited for, {@link Long#MAX_VALUE} for none. */
    long nextDeadlineAtUs() {
        while (!waiting.isEmpty() && !waiting.peek().isAwaitingProbes()) {
            waiting.poll();
        }
        return waiting.isEmpty() ? Long.MAX_VALUE : waiting.peek().probeDeadlineAtUs();
    }
}
