package tansypass.testbed.process;

import java.util.HexFormat;
import tansypass.cluster.runtime.RandomStreams;
import tansypass.testbed.model.ClientLoadBalancer;
import tansypass.testbed.model.PoissonArrivals;
import tansypass.testbed.scenario.Scenario.RequestClass;

/**
 * Sends the load of a run to the nodes that are ready. The load is an open loop: requests are sent at their times,
 * whether or not earlier ones have ended. Used only on the run's event loop.
 */
final class LoadDriver {
    private final ProcessRunContext context;
    private final PoissonArrivals arrivals;

    LoadDriver(ProcessRunContext context) {
        this.context = context;
        arrivals = new PoissonArrivals(
                context.scenario.clients().requestsPerS(),
                context.scenario.classes(),
                0,
                RandomStreams.of(context.seed, "load"));
    }

    /** Starts the load, which stops after the length of the scenario. */
    void start() {
        sendDueRequests(arrivals.nextArrivalUs());
    }

    private void sendDueRequests(long firstUs) {
        long dueUs = firstUs;
        // All requests that are already due are sent at once: with a timer for each, a testbed that is behind
        // schedule would fall further behind.
        while (dueUs <= context.clock.nowUs() && dueUs < context.scenario.lengthUs()) {
            send(arrivals.nextClass(), HexFormat.of().toHexDigits(arrivals.nextId()), dueUs);
            dueUs = arrivals.nextArrivalUs();
        }
        if (dueUs < context.scenario.lengthUs()) {
            long nextUs = dueUs;
            context.scheduler.after(nextUs - context.clock.nowUs(), () -> sendDueRequests(nextUs));
        }
    }

    private void send(RequestClass requestClass, String id, long intendedUs) {
        int node = context.clientLoadBalancer.selectNode();
        if (node == ClientLoadBalancer.NO_NODE
                || openRequestCount() >= context.scenario.clients().maxOpenRequests()) {
            context.checker.requestNotSent(context.clock.nowUs(), intendedUs);
        } else {
            context.nodes.get(node).clients().send(id, requestClass, intendedUs);
        }
    }

    private int openRequestCount() {
        return context.nodes.stream()
                .mapToInt(node -> node.clients().openRequestCount())
                .sum();
    }
}
