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

/** A node of a simulated run, across the starts and ends of its processes. */
final class SimulatedNodeHandle extends NodeHandle {
    /** The duration of a simulated start; a real process takes the time that it needs. */
    private static final long START_DURATION_US = 1_500_000;
    /** The time for which a draining node still accepts requests, as the product's network code does. */
    private static final long ACCEPT_WHILE_DRAINING_US = 600_000;

    private static final long DRAINED_CHECK_INTERVAL_US = 5_000;

    private final SimulationContext context;
    private final SimulatedNodeNetwork network;
    /** Empty while the node has no process. */
    private Optional<SimulatedNode> node = Optional.empty();
    /** Empty before the first start. A dead process stays until the next start. */
    private Optional<SimulatedProcess> process = Optional.empty();
    /** Empty unless the node is a member of a cluster. */
    private Optional<ClusterSizeEstimator> clusterSizeEstimator = Optional.empty();

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

    /** Returns the process of the last start, which may be dead; only to be called after the first start. */
    SimulatedProcess process() {
        return process.orElseThrow();
    }

    /** Returns the node of the running process; only to be called while {@link #isAlive}. */
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

    /** Starts a process without a delay. */
    void start() {
        advanceGeneration();
        isStarting = false;
        checker.nodeStarted(nowUs(), number());
        List<EndpointRegistry.Entry> endpoints = context.registry.lastPublished();
        endpoints.stream()
                .filter(entry -> entry.state() != State.READY)
                .forEach(entry -> checker.endpointNotified(nowUs(), number(), entry.number(), true));
        SimulatedProcess newProcess = new SimulatedProcess(context.queue);
        process = Optional.of(newProcess);
        SimulatedNode newNode = new SimulatedNode(
                newProcess,
                network,
                BalancerInputs.toSettings(scenario, number()),
                RandomStreams.seedOf(context.seed, name() + "#" + generation()),
                BalancerInputs.toServerEntries(scenario, endpoints),
                context.parts);
        node = Optional.of(newNode);
        context.clientLoadBalancer.nodeReady(number());
        context.membership.ifPresent(membership -> joinCluster(membership, newNode));
    }

    private void joinCluster(SimulatedMembership membership, SimulatedNode newNode) {
        membership.start(number());
        clusterSizeEstimator = Optional.of(new ClusterSizeEstimator(newNode::onClusterSize));
    }

    /** Called when the node's membership view has changed. */
    void onMembershipChange(MembershipView view) {
        clusterSizeEstimator.ifPresent(estimator -> estimator.update(view, 0));
    }

    /** Called when discovery notifies the node of changes of the endpoint list. */
    void onWatchEvent(EndpointRegistry.WatchEvent event) {
        if (!isAlive()) {
            return;
        }
        SimulatedNode notifiedNode = node();
        for (EndpointRegistry.Entry entry : event.entries()) {
            checker.endpointNotified(nowUs(), number(), entry.number(), entry.state() != State.READY);
        }
        process()
                .deliver(
                        () -> notifiedNode.onEndpointUpdate(BalancerInputs.toServerEntries(scenario, event.entries())));
    }

    @Override
    public void restart() {
        if (isDraining) {
            restartsAfterDraining = true;
        } else if (!isAlive() && !isStarting) {
            isStarting = true;
            int startGeneration = generation();
            context.queue.after(START_DURATION_US, () -> {
                if (generation() == startGeneration && isStarting) {
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
            beginPauseExemption();
        } else if (!paused && isPaused()) {
            endPauseExemption();
            process().setPaused(false);
            setMemberPaused(false);
        }
    }

    private void setMemberPaused(boolean paused) {
        context.membership.ifPresent(membership -> membership.setPaused(number(), paused));
    }

    /** Kills the process, or cancels a start in progress. */
    @Override
    public void kill() {
        isStarting = false;
        if (!isAlive()) {
            advanceGeneration();
            return;
        }
        if (isPaused()) {
            endPauseExemption();
        }
        int killedGeneration = generation();
        context.clientLoadBalancer.nodeDied(number());
        checker.exemptNode(nowUs(), number()).end(nowUs());
        endProcess();
        context.clients.breakConnections(number(), killedGeneration);
    }

    private void endProcess() {
        node().stop();
        context.membership.ifPresent(membership -> membership.kill(number()));
        process().kill();
        node = Optional.empty();
        clusterSizeEstimator = Optional.empty();
        advanceGeneration();
        isDraining = false;
        if (restartsAfterDraining) {
            restartsAfterDraining = false;
            restart();
        }
    }

    /** Starts to drain: still accepts requests for a short time, responds to all of them, and then ends. */
    @Override
    public void terminate() {
        if (!isAlive() || isDraining) {
            return;
        }
        isDraining = true;
        context.membership.ifPresent(membership -> membership.leave(number()));
        context.clientLoadBalancer.nodeNotReady(number());
        int terminatingGeneration = generation();
        context.queue.after(ACCEPT_WHILE_DRAINING_US, () -> endWhenDrained(terminatingGeneration));
        enforceTermination();
    }

    private void endWhenDrained(int terminatingGeneration) {
        if (generation() != terminatingGeneration) {
            return;
        }
        if (!isPaused() && node().inFlight() == 0) {
            endProcess();
        } else {
            context.queue.after(DRAINED_CHECK_INTERVAL_US, () -> endWhenDrained(terminatingGeneration));
        }
    }
}
