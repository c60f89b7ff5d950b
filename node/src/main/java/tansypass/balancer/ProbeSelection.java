package tansypass.balancer;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/** Exception, probe-based selection: of two servers drawn the request goes to the one that first answers a probe. */
final class ProbeSelection {

    private static final double MAX_WAIT_SHARE = 0.25;
    private static final double GAIN = 0.5;
    private static final double MAX_FAILURE_RATE = 0.1;

    private final BalancerContext context;
    private final PriorityQueue<PendingRequest> waiting =
            new PriorityQueue<>(Comparator.comparingLong(pending -> pending.probeDeadlineAt));

    ProbeSelection(BalancerContext context) {
        this.context = context;
    }

    /** Probes two servers for a request if that is worth it; false if not. */
    boolean tryStart(PendingRequest pending) {
        double usualUs = context.answers.usualLatencyUs(pending);
        long waitUs = Math.max(3 * context.settings.tickUs(), (long) (MAX_WAIT_SHARE * usualUs));
        if (usualUs == 0 || !isWorthwhile(pending, waitUs)) {
            return false;
        }
        Server first = context.selector.drawByZone(pending);
        Server second = first == null ? null : context.selector.drawByZone(pending);
        if (second == null
                || second == first
                || first.inFlight != second.inFlight
                || first.failureRate.value() + second.failureRate.value() > MAX_FAILURE_RATE) {
            return false;
        }
        pending.awaitingProbes = true;
        pending.probesInFlight = 2;
        pending.probeDeadlineAt = context.now + waitUs;
        waiting.add(pending);
        probe(first, pending);
        probe(second, pending);
        return true;
    }

    private boolean isWorthwhile(PendingRequest pending, long waitUs) {
        double savings = context.queue.relativeWeight(pending) * context.answers.lateRatio.value() * GAIN;
        boolean tooExpensive = savings < 2 * context.settings.probePrice();
        return context.settings.probes()
                && context.nodes > context.servers.ready.length
                && context.selector.halfOpenServer(pending) == null
                && pending.objectiveAt - context.now >= 2 * waitUs
                && !tooExpensive;
    }

    private void probe(Server server, PendingRequest pending) {
        // What has been decided without this server's answer must not pile up should the answer get lost.
        server.probeWaiters.removeIf(waiter -> !waiter.awaitingProbes);
        server.probeWaiters.add(pending);
        if (!server.probeInFlight) {
            server.probeInFlight = true;
            context.actions.probe(server.id);
        }
    }

    void onResult(Server server, AttemptResult result, long tookUs) {
        server.probeInFlight = false;
        if (result == AttemptResult.OK) {
            context.latencies.recordProbe(server, tookUs);
        } else {
            // No error count and no ejection by probes: a jammed server drops them and still serves.
            context.latencies.record(server, ConcurrencyLimiter.CROWDED_LATENCY_MULTIPLE);
        }
        List<PendingRequest> waiters = new ArrayList<>(server.probeWaiters);
        server.probeWaiters.clear();
        for (PendingRequest pending : waiters) {
            if (pending.awaitingProbes && result == AttemptResult.OK && context.selector.maySend(pending, server)) {
                pending.awaitingProbes = false;
                context.requests.send(pending, server);
            } else if (pending.awaitingProbes && --pending.probesInFlight == 0) {
                pending.awaitingProbes = false;
                context.queue.dispatch(pending);
            }
        }
    }

    /** What no probe has answered in time goes by the draws. */
    void dispatchUnanswered() {
        while (nextDeadlineAt() <= context.now) {
            PendingRequest pending = waiting.poll();
            pending.awaitingProbes = false;
            context.queue.dispatch(pending);
        }
    }

    /** When the next probes will have been waited for long enough, Long.MAX_VALUE for never. */
    long nextDeadlineAt() {
        while (!waiting.isEmpty() && !waiting.peek().awaitingProbes) {
            waiting.poll();
        }
        return waiting.isEmpty() ? Long.MAX_VALUE : waiting.peek().probeDeadlineAt;
    }
}
