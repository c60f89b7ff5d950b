package tansypass.testbed.simulation;

import tansypass.testbed.invariant.InvariantChecker;
import tansypass.testbed.model.FaultSchedule;
import tansypass.testbed.model.MembershipAgreement;
import tansypass.testbed.scenario.Scenario;

/** Runs a scenario in virtual time, on the calling thread. Equal scenarios and seeds give equal traces. */
public final class SimulationRun {
    private final Scenario scenario;
    private final SimulationContext context;
    private final InvariantChecker checker;

    private SimulationRun(Scenario scenario, long seed, NodeParts parts) {
        this.scenario = scenario;
        context = new SimulationContext(scenario, seed, parts);
        checker = context.checker;
    }

    /** Runs the scenario with the product's parts and returns the checker, which has received all events of the run. */
    public static InvariantChecker run(Scenario scenario, long seed) {
        return run(scenario, seed, NodeParts.PRODUCT);
    }

    /** Runs the scenario with nodes that consist of the given parts, and returns the checker. */
    public static InvariantChecker run(Scenario scenario, long seed, NodeParts parts) {
        SimulationRun run = new SimulationRun(scenario, seed, parts);
        run.runToEnd();
        return run.checker;
    }

    private void runToEnd() {
        context.nodes.forEach(SimulatedNodeHandle::start);
        context.nodes.forEach(node -> context.registry.addWatcher(node::onWatchEvent));
        new FaultSchedule(scenario, new SimulatedFaultInjector(context)).start(context.queue);
        context.clients.start();
        context.queue.runUntil(scenario.lengthUs() + scenario.settleUs());
        context.nodes.forEach(this::checkNothingInFlight);
        MembershipAgreement.check(scenario, checker, context.nodes, context.nowUs());
        checker.finish(context.nowUs());
    }

    private void checkNothingInFlight(SimulatedNodeHandle node) {
        if (node.isAlive() && node.node().inFlight() > 0) {
            checker.resourceLeaked(
                    context.nowUs(), node.name() + " still holds " + node.node().inFlight() + " requests");
        }
    }
}
