package tansypass.testbed.simulation;

import tansypass.testbed.model.FaultInjector;
import tansypass.testbed.model.LinkState;
import tansypass.testbed.model.ProcessNames;
import tansypass.testbed.model.WebServer;
import tansypass.testbed.scenario.Scenario.Fault;
import tansypass.testbed.scenario.Scenario.Kind;

/** Injects faults into the nodes, servers and links of a simulated run. */
final class SimulatedFaultInjector extends FaultInjector {
    private final SimulationContext context;

    SimulatedFaultInjector(SimulationContext context) {
        super(context.checker, context.registry, context.nodes, context::nowUs);
        this.context = context;
    }

    @Override
    protected void stopServer(int server) {
        context.servers.get(server).stop();
        for (SimulatedNodeHandle node : context.nodes) {
            if (!node.network().serverLink(server).isHalfOpen()) {
                notifyNodeOfReset(node, server);
            }
        }
    }

    private static void notifyNodeOfReset(SimulatedNodeHandle node, int server) {
        if (node.isAlive()) {
            node.node().onServerReset(ProcessNames.server(server));
        }
    }

    @Override
    protected void startServer(int server) {
        context.servers.get(server).start();
    }

    @Override
    protected WebServer webServer(int server) {
        return context.servers.get(server).model();
    }

    @Override
    protected long unixMillis() {
        return context.nowUs() / 1_000;
    }

    @Override
    public void applyServerLinkFault(int node, int server, Fault fault, boolean begins) {
        SimulatedNodeHandle handle = context.nodes.get(node);
        handle.network().serverLink(server).apply(fault, begins);
        if (fault.kind() == Kind.RESET && begins) {
            context.servers.get(server).resetConnections();
            notifyNodeOfReset(handle, server);
        }
    }

    @Override
    protected void applyToMemberLink(int first, int second, Fault fault, boolean begins) {
        context.membership.orElseThrow().applyFault(first, second, fault, begins);
    }

    @Override
    public void applyClientLinkFault(int node, Fault fault, boolean begins) {
        super.applyClientLinkFault(node, fault, begins);
        if (fault.kind() == Kind.RESET && begins) {
            context.clients.resetConnections(context.nodes.get(node));
        }
    }

    @Override
    protected void applyToClientLink(int node, Fault fault, boolean begins) {
        clientLink(node).apply(fault, begins);
    }

    @Override
    protected long clientLinkClearedUs(int node) {
        return Math.max(context.nowUs(), clientLink(node).busyUntilUs());
    }

    private LinkState clientLink(int node) {
        return context.nodes.get(node).network().clientLink();
    }
}
