package tansypass.testbed.simulation;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import tansypass.cluster.membership.ClusterSizeEstimator;
import tansypass.cluster.membership.MembershipView;
import tansypass.cluster.runtime.RandomStreams;
import tansypass.testbed.model.EndpointRegistry;
import tansypass.testbed.model.EndpointRegistry.State;
import tansypass.testbed.model.NodeHandle;

/** A node of a simulated run and the process that it has now, if any. */
final class SimulatedNodeHandle extends NodeHandle {
    /** How long a start takes; on real processes it is what it is. */
    private static final long START_US = 1_500_000;
    /** For how long a draining node still accepts requests, as the product's own network code does. */
    private static final long ACCEPT_WHILE_DRAINING_US = 600_000;

    private static final long DRAINED_CHECK_US = 5_000;

    private final SimulationContext context;
    private final SimulatedNodeNetwork network;
    /** Empty if there is no process. */
    private Optional<SimulatedNode> node = Optional.empty();
    /** Empty before the first start; a dead one stays until the next start. */
    private Optional<SimulatedProcess> process = Optional.empty();
    /** Empty unless the node is a member of a cluster. */
    private Optional<ClusterSizeEstimator> clusterSize = Optional.empty();

    private boolean isDraining;
    private boolean isStarting;
    private boolean restartsAfterDraining;

    SimulatedNodeHandle(int number, SimulationContext context) {
        super(number, context.scenario, context.checker, context.queue, context::nowUs);
        this.context = context;
        network = new SimulatedNodeNetwork(context, this);
    }

    SimulatedNodeNetwork network() {
        return network;
    }

    /** Returns the present process, or the last one, which is dead; only to be called after the first start. */
    SimulatedProcess process() {
        return process.orElseThrow();
    }

    /** Returns the present node; only to be called while it {@link #isAlive}. */
    SimulatedNode node() {
        return node.orElseThrow();
    }

    @Override
    public boolean isAlive() {
        return node.isPresent();
    }

    @Override
    protected boolean isUp() {
        return isAlive();
    }

    @Override
    protected Set<Integer> presentMembers() {
        return context.membership.orElseThrow().presentMembers(number());
    }

    @Override
    protected boolean isPaused() {
        return process().isPaused();
    }

    /** Starts a process at once. */
    void start() {
        advanceGeneration();
        isStarting = false;
        checker.nodeStarted(nowUs(), number());
        List<EndpointRegistry.Entry> known = context.registry.lastPublished();
        known.stream()
                .filter(entry -> entry.state() != State.READY)
                .forEach(entry -> checker.endpointNotified(nowUs(), number(), entry.number(), true));
        SimulatedProcess startedProcess = new SimulatedProcess(context.queue);
        process = Optional.of(startedProcess);
        SimulatedNode started = new SimulatedNode(
                startedProcess,
                network,
                BalancerInputs.settings(scenario, number()),
                RandomStreams.seedOf(context.seed, name() + "#" + generation()),
                BalancerInputs.serverEntries(scenario, known),
                context.parts);
        node = Optional.of(started);
        context.clientLoadBalancer.nodeReady(number());
        context.membership.ifPresent(membership -> joinCluster(membership, started));
    }

    private void joinCluster(SimulatedMembership membership, SimulatedNode started) {
        membership.start(number());
        clusterSize = Optional.of(new ClusterSizeEstimator(started::onClusterSize));
    }

    /** The node's own membership view has changed. */
    void membershipChanged(MembershipView view) {
        clusterSize.ifPresent(estimator -> estimator.update(view, 0));
    }

    /** Discovery notifies the node of a change. */
    void notifyOf(EndpointRegistry.WatchEvent event) {
        if (!isAlive()) {
            return;
        }
        SimulatedNode notified = node();
        for (EndpointRegistry.Entry entry : event.entries()) {
            checker.endpointNotified(nowUs(), number(), entry.number(), entry.state() != State.READY);
        }
        process().deliver(() -> notified.onEndpointUpdate(BalancerInputs.serverEntries(scenario, event.entries())));
    }

    @Override
    public void restart() {
        if (isDraining) {
            restartsAfterDraining = true;
        } else if (!isAlive() && !isStarting) {
            isStarting = true;
            int starting = generation();
            context.queue.after(START_US, () -> {
                if (generation() == starting && isStarting) {
                    start();
                }
            });
        }
    }

    @Override
    public void setPaused(boolean paused) {
        if (paused && isAlive() && !isPaused()) {
            process().setPaused(true);
            setMemberPaused(true);
            beginPauseExcuse();
        } else if (!paused && isPaused()) {
            endPauseExcuse();
            process().setPaused(false);
            setMemberPaused(false);
        }
    }

    private void setMemberPaused(boolean paused) {
        context.membership.ifPresent(membership -> membership.setPaused(number(), paused));
    }

    /** Kills its process, also one that is just starting. */
    @Override
    public void kill() {
        isStarting = false;
        if (!isAlive()) {
            advanceGeneration();
            return;
        }
        if (isPaused()) {
            endPauseExcuse();
        }
        int killed = generation();
        context.clientLoadBalancer.nodeDied(number());
        checker.excuseNode(nowUs(), number()).end(nowUs());
        processEnded();
        context.clients.breakConnections(number(), killed);
    }

    private void processEnded() {
        node().stop();
        context.membership.ifPresent(membership -> membership.kill(number()));
        process().kill();
        node = Optional.empty();
        clusterSize = Optional.empty();
        advanceGeneration();
        isDraining = false;
        if (restartsAfterDraining) {
            restartsAfterDraining = false;
            restart();
        }
    }

    /** Accepts requests for some time still, responds to all of them, and ends. */
    @Override
    public void terminate() {
        if (!isAlive() || isDraining) {
            return;
        }
        isDraining = true;
        context.membership.ifPresent(membership -> membership.leave(number()));
        context.clientLoadBalancer.nodeNotReady(number());
        int terminating = generation();
        context.queue.after(ACCEPT_WHILE_DRAINING_US, () -> endWhenDrained(terminating));
        enforceTermination();
    }

    private void endWhenDrained(int terminating) {
        if (generation() != terminating) {
            return;
        }
        if (!isPaused() && node().inFlight() == 0) {
            processEnded();
        } else {
            context.queue.after(DRAINED_CHECK_US, () -> endWhenDrained(terminating));
        }
    }
}
