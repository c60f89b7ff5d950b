package tansypass.testbed.process;

import java.io.UncheckedIOException;
import tansypass.testbed.model.FaultInjector;
import tansypass.testbed.model.WebServer;
import tansypass.testbed.scenario.Scenario.Fault;
import tansypass.testbed.scenario.Scenario.Kind;

/** Injects faults into the nodes, servers and links of a run on real processes. Used only on the run's event loop. */
final class ProcessFaultInjector extends FaultInjector {
    private final ProcessRunContext context;

    ProcessFaultInjector(ProcessRunContext context) {
        super(context.checker, context.registry, context.nodes, context.clock::nowUs);
        this.context = context;
    }

    /** Begins or ends a fault of a node; aborts the run if a signal can't be sent or a process can't be started. */
    @Override
    public void applyNodeFault(int number, Fault fault, boolean begins) {
        ProcessNodeHandle node = context.nodes.get(number);
        if (begins && fault.kind() != Kind.PAUSE && !node.isAlive()) {
            // The node has no process that a fault could end.
            node.faultChanged(true);
            return;
        }
        try {
            super.applyNodeFault(number, fault, begins);
        } catch (UncheckedIOException e) {
            context.completion().completeExceptionally(e);
        }
    }

    @Override
    protected void stopServer(int server) {
        context.servers.get(server).stop();
    }

    @Override
    protected void startServer(int server) {
        context.servers.get(server).restart();
    }

    @Override
    protected WebServer webServer(int server) {
        return context.servers.get(server).model();
    }

    @Override
    protected long unixMillis() {
        return System.currentTimeMillis();
    }

    @Override
    public void applyServerLinkFault(int node, int server, Fault fault, boolean begins) {
        context.serverLinks.get(context.linkKey(node, server)).applyFault(fault, begins);
    }

    @Override
    protected void applyToMemberLink(int first, int second, Fault fault, boolean begins) {
        context.memberLinks().orElseThrow().applyFault(first, second, fault, begins);
    }

    @Override
    protected void applyToClientLink(int node, Fault fault, boolean begins) {
        context.clientLinks.get(node).applyFault(fault, begins);
    }

    @Override
    protected long clientLinkClearedUs(int node) {
        return context.clock.nowUs() + context.clientLinks.get(node).remainingTransitUs();
    }
}
