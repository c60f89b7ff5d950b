package tansypass.testbed.process;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.Set;
import tansypass.cluster.transport.ClusterTransport;
import tansypass.testbed.invariant.Exemption;
import tansypass.testbed.invariant.MembershipInvariantChecker;
import tansypass.testbed.model.ClientLoadBalancer;
import tansypass.testbed.model.NodeHandle;

/** A node of a run on real processes: its addresses, its clients and its current process. */
final class ProcessNodeHandle extends NodeHandle {
    /** The minimum interval between polls of a node's readiness. The interval is longer if the run has many nodes. */
    private static final long READY_POLL_INTERVAL_US = 100_000;

    private static final long READY_POLL_INTERVAL_PER_NODE_US = 10_000;
    /** The minimum interval between polls of a node's view. The interval is longer if the run has many nodes. */
    private static final long VIEW_POLL_INTERVAL_US = 200_000;

    private static final long VIEW_POLL_INTERVAL_PER_NODE_US = 20_000;
    private static final long EXIT_CHECK_INTERVAL_US = 20_000;
    private static final int STATUS_OK = 200;

    private final ProcessRunContext context;
    private final ClientLoadBalancer clientLoadBalancer;
    private final InetSocketAddress clientAddress;
    private final InetSocketAddress adminAddress;
    private final InetSocketAddress memberAddress;
    private NodeProcess process;
    private LoadGenerator clients;
    /** The membership view as last polled; empty until the first poll of a process. */
    private Optional<MembershipSnapshot> lastView = Optional.empty();

    private boolean isReady;
    /** True from the time at which a fault ends the process until a new process is started. */
    private boolean isEndedByFault;

    ProcessNodeHandle(int number, ProcessRunContext context, LoopbackAllocator loopback) {
        super(number, context.scenario, context.checker, context.scheduler, context.clock::nowUs);
        this.context = context;
        clientLoadBalancer = context.clientLoadBalancer;
        clientAddress = loopback.clientAddress(number);
        adminAddress = loopback.adminAddress(number);
        memberAddress = loopback.memberAddress(number);
    }

    /** Sets the node's process, which is not started yet. */
    void setProcess(NodeProcess process) {
        this.process = process;
    }

    /** Sets the clients that send requests to the node. */
    void setClients(LoadGenerator clients) {
        this.clients = clients;
    }

    NodeProcess process() {
        return process;
    }

    LoadGenerator clients() {
        return clients;
    }

    /** Returns the address at which the node listens for clients, who may reach it through a {@link Relay}. */
    InetSocketAddress clientAddress() {
        return clientAddress;
    }

    InetSocketAddress adminAddress() {
        return adminAddress;
    }

    /** Returns whether the node was ready when it was last polled. */
    boolean isReady() {
        return isReady;
    }

    @Override
    protected boolean isUp() {
        return isReady;
    }

    /** Returns the members that are present in the view that was polled last. */
    @Override
    protected Set<Integer> presentMembers() {
        return lastView.map(MembershipSnapshot::presentMembers).orElse(Set.of());
    }

    @Override
    public boolean isAlive() {
        return process != null && process.isAlive();
    }

    @Override
    protected boolean isPaused() {
        return process.isStopped();
    }

    /** Starts to poll the node's readiness regularly, as a client load balancer does. */
    void pollReadiness() {
        int polledGeneration = generation();
        HttpGetClient.get(context.loop, clientAddress, "/ready", response -> {
            if (polledGeneration == generation()) {
                response.ifPresent(received -> setReady(received.status() == STATUS_OK));
            }
            long intervalUs = Math.max(READY_POLL_INTERVAL_US, READY_POLL_INTERVAL_PER_NODE_US * context.nodes.size());
            scheduler.after(intervalUs, this::pollReadiness);
        });
    }

    private void setReady(boolean ready) {
        if (isReady == ready) {
            return;
        }
        isReady = ready;
        if (ready) {
            checker.nodeStarted(nowUs(), number());
            clientLoadBalancer.nodeReady(number());
        } else {
            clientLoadBalancer.nodeNotReady(number());
        }
    }

    /** Starts to poll the node's membership view regularly. */
    void pollView() {
        int polledGeneration = generation();
        HttpGetClient.get(context.loop, memberAddress, ClusterTransport.VIEW_PATH, response -> {
            if (polledGeneration == generation() && !process.isStopped()) {
                response.filter(received -> received.status() == STATUS_OK)
                        .ifPresent(received -> setView(MembershipSnapshot.parse(number(), received.body())));
            }
            long intervalUs = Math.max(VIEW_POLL_INTERVAL_US, VIEW_POLL_INTERVAL_PER_NODE_US * context.nodes.size());
            scheduler.after(intervalUs, this::pollView);
        });
    }

    private void setView(MembershipSnapshot view) {
        lastView = Optional.of(view);
        checker.membershipChecker().ifPresent(members -> checkView(members, view));
    }

    private void checkView(MembershipInvariantChecker members, MembershipSnapshot view) {
        if (!isEndedByFault) {
            members.setLiveProcess(number(), view.ownProcessKey());
        }
        // Each line has the time since its last change, so the time of a change is exact although polls are rare.
        view.unchangedUsByLine()
                .forEach((line, forUs) -> members.viewChanged(nowUs() - forUs, number(), view.ownProcessKey(), line));
    }

    private void handleProcessEnd() {
        advanceGeneration();
        checker.membershipChecker().ifPresent(members -> members.memberDied(number(), nowUs()));
        lastView = Optional.empty();
        isReady = false;
        clientLoadBalancer.nodeDied(number());
        endExemptionWhenProcessExits(checker.exemptNode(nowUs(), number()));
    }

    /** Ends the exemption when the process has exited: until SIGKILL takes effect, clients may still connect. */
    private void endExemptionWhenProcessExits(Exemption exemption) {
        if (process.isAlive()) {
            scheduler.after(EXIT_CHECK_INTERVAL_US, () -> endExemptionWhenProcessExits(exemption));
        } else {
            exemption.end(nowUs());
        }
    }

    /** Handles an exit of the process that no fault caused. */
    void handleUnexpectedExit(String reason) {
        checker.processDied(nowUs(), name(), reason);
        handleProcessEnd();
    }

    @Override
    public void kill() {
        isEndedByFault = true;
        process.kill();
        handleProcessEnd();
    }

    @Override
    public void terminate() {
        isEndedByFault = true;
        checker.membershipChecker().ifPresent(members -> members.clearLiveProcess(number()));
        process.terminate();
        enforceTermination();
    }

    /** Starts a new process as soon as the old one has exited. */
    @Override
    public void restart() {
        if (!isEndedByFault || context.isFinished()) {
            return;
        }
        if (process.isAlive()) {
            scheduler.after(EXIT_CHECK_INTERVAL_US, this::restart);
        } else {
            isEndedByFault = false;
            advanceGeneration();
            isReady = false;
            process.start();
        }
    }

    @Override
    public void setPaused(boolean paused) {
        process.setStopped(paused);
        if (paused) {
            beginPauseExemption();
        } else {
            endPauseExemption();
        }
    }
}
