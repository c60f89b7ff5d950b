package tansypass.testbed.model;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import tansypass.cluster.runtime.Scheduler;
import tansypass.testbed.invariant.Exemption;
import tansypass.testbed.invariant.InvariantChecker;
import tansypass.testbed.scenario.Scenario;
import tansypass.testbed.scenario.Scenario.Fault;

/**
 * A node of a run, across the starts and ends of its processes, and the effects of faults on it. Subclasses run either
 * simulated or real processes. All calls come from the run's single thread.
 */
public abstract class NodeHandle {
    /** After SIGTERM, the platform's protocol allows SIGKILL once the longest deadline and this time have passed. */
    private static final long TERMINATION_GRACE_US = 700_000;

    protected final Scenario scenario;
    protected final InvariantChecker checker;
    protected final Scheduler scheduler;

    private final int number;
    private final LongSupplier nowUs;
    private final Map<Fault, Exemption> linkExemptions = new HashMap<>();
    private Optional<Exemption> pauseExemption = Optional.empty();
    private int generation;

    /**
     * Creates a node without a process.
     *
     * @param nowUs returns the time since the load began, in microseconds
     */
    protected NodeHandle(
            int number, Scenario scenario, InvariantChecker checker, Scheduler scheduler, LongSupplier nowUs) {
        this.number = number;
        this.scenario = scenario;
        this.checker = checker;
        this.scheduler = scheduler;
        this.nowUs = nowUs;
    }

    /** Returns the number of the node, from 0. */
    public final int number() {
        return number;
    }

    /** Returns the name of the node, such as {@code node-0}. */
    public final String name() {
        return ProcessNames.node(number);
    }

    /** Returns a number that changes with each start and end of a process, by which outdated events are recognized. */
    public final int generation() {
        return generation;
    }

    /** Changes the generation, so that events scheduled for the present process are outdated. */
    protected final void advanceGeneration() {
        generation++;
    }

    /** Returns the time since the load began, in microseconds. */
    protected final long nowUs() {
        return nowUs.getAsLong();
    }

    /** Returns whether the process is paused by SIGSTOP. */
    protected abstract boolean isPaused();

    /** Returns whether the node has a process. */
    public abstract boolean isAlive();

    /** Returns whether the node is a running member, which has to be present in the views of all members. */
    protected abstract boolean isUp();

    /** Returns the nodes that are present in this node's membership view; empty if there is no view. */
    protected abstract Set<Integer> presentMembers();

    /** Pauses the process (SIGSTOP) or resumes it (SIGCONT). */
    public abstract void setPaused(boolean paused);

    /** Kills the process (SIGKILL). */
    public abstract void kill();

    /** Starts the graceful shutdown of the process (SIGTERM). */
    public abstract void terminate();

    /** Starts a process again, after the end of a fault that ended the previous process. */
    public abstract void restart();

    /** Notifies the checker that a fault of the process or of a link to another node begins or ends. */
    public final void faultChanged(boolean begins) {
        checker.membershipChecker().ifPresent(members -> members.faultChanged(number, begins, nowUs()));
    }

    /** Begins an exemption of the node, because its link from the clients has a fault. */
    final void clientLinkFaultBegan(Fault fault) {
        linkExemptions.put(fault, checker.exemptNode(nowUs(), number));
    }

    /** Ends the exemption for a link fault at {@code clearedUs}, when all data delayed by the fault is delivered. */
    final void clientLinkFaultEnded(Fault fault, long clearedUs) {
        linkExemptions.remove(fault).end(clearedUs);
    }

    /** Begins an exemption of the node, because its process is paused. */
    protected final void beginPauseExemption() {
        pauseExemption = Optional.of(checker.exemptNode(nowUs(), number));
    }

    /** Ends the exemption for a paused process, if there is one. */
    protected final void endPauseExemption() {
        pauseExemption.ifPresent(exemption -> exemption.end(nowUs()));
    }

    /** Schedules a kill of the present process, for the case that it has not ended in time after SIGTERM. */
    protected final void enforceTermination() {
        int terminatingGeneration = generation;
        scheduler.after(
                scenario.longestDeadlineUs() + TERMINATION_GRACE_US, () -> killIfStillAlive(terminatingGeneration));
    }

    private void killIfStillAlive(int terminatingGeneration) {
        if (generation != terminatingGeneration) {
            return;
        }
        if (isPaused()) {
            // A paused process has not received SIGTERM yet.
            scheduler.after(TERMINATION_GRACE_US, () -> killIfStillAlive(terminatingGeneration));
        } else if (isAlive()) {
            checker.resourceLeaked(nowUs(), name() + " is still there after SIGTERM");
            kill();
        }
    }
}
