package tansypass.testbed.model;

import java.util.List;
import java.util.function.LongSupplier;
import tansypass.testbed.invariant.InvariantChecker;
import tansypass.testbed.model.EndpointRegistry.State;
import tansypass.testbed.scenario.Scenario.Fault;
import tansypass.testbed.scenario.Scenario.Kind;

/**
 * Applies faults to nodes, servers and links, and notifies the checker of the nodes that they exempt. Subclasses
 * act on the servers and links of a simulated run or of a run on real processes. All calls come from the run's single
 * thread.
 */
public abstract class FaultInjector implements FaultSchedule.Target {
    private final InvariantChecker checker;
    private final EndpointRegistry registry;
    private final List<? extends NodeHandle> nodes;
    private final LongSupplier nowUs;

    /** Creates an injector; {@code nowUs} returns the time since the load began, in microseconds. */
    protected FaultInjector(
            InvariantChecker checker, EndpointRegistry registry, List<? extends NodeHandle> nodes, LongSupplier nowUs) {
        this.checker = checker;
        this.registry = registry;
        this.nodes = nodes;
        this.nowUs = nowUs;
    }

    /** Kills a server's process. */
    protected abstract void stopServer(int server);

    /** Starts a server's process again. */
    protected abstract void startServer(int server);

    /** Returns the model of a server's behavior. */
    protected abstract WebServer webServer(int server);

    /** Returns the present Unix time in milliseconds, which a server that starts now reports as its start. */
    protected abstract long unixMillis();

    /** Begins or ends a fault on the link between two nodes. */
    protected abstract void applyToMemberLink(int first, int second, Fault fault, boolean begins);

    /** Begins or ends a fault on the link from the clients to a node. */
    protected abstract void applyToClientLink(int node, Fault fault, boolean begins);

    /**
     * Returns the time at which all data now on the link from the clients to a node is delivered; the present time if
     * the link is empty.
     */
    protected abstract long clientLinkClearedUs(int node);

    @Override
    public void applyNodeFault(int number, Fault fault, boolean begins) {
        NodeHandle node = nodes.get(number);
        node.faultChanged(begins);
        if (fault.kind() == Kind.PAUSE) {
            node.setPaused(begins);
        } else if (!begins) {
            node.restart();
        } else if (fault.kind() == Kind.KILL) {
            node.kill();
        } else {
            node.terminate();
        }
    }

    @Override
    public final void applyServerFault(int number, Fault fault, boolean begins) {
        String name = ProcessNames.server(number);
        if (fault.kind() != Kind.KILL) {
            webServer(number).applyFault(fault, begins);
        } else if (begins) {
            stopServer(number);
        } else {
            startServer(number);
            registry.put(name, number, State.READY, unixMillis());
        }
        if (fault.kind() == Kind.DRAIN) {
            registry.setState(name, begins ? State.TERMINATING : State.READY);
            checker.endpointListed(nowUs.getAsLong(), number, begins);
        }
    }

    @Override
    public final void setDiscoverySilent(boolean silent) {
        registry.setSilent(silent);
    }

    @Override
    public final void applyMemberLinkFault(int first, int second, Fault fault, boolean begins) {
        applyToMemberLink(first, second, fault, begins);
        nodes.get(first).faultChanged(begins);
        nodes.get(second).faultChanged(begins);
    }

    @Override
    public void applyClientLinkFault(int node, Fault fault, boolean begins) {
        applyToClientLink(node, fault, begins);
        if (begins) {
            nodes.get(node).clientLinkFaultBegan(fault);
        } else {
            nodes.get(node).clientLinkFaultEnded(fault, clientLinkClearedUs(node));
        }
    }
}
