package tansypass.testbed.model;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import tansypass.cluster.runtime.Scheduler;
import tansypass.testbed.invariant.Excuse;
import tansypass.testbed.invariant.InvariantChecker;
import tansypass.testbed.scenario.Scenario;
import tansypass.testbed.scenario.Scenario.Fault;

/**
 * A node's name and address, which outlive its processes, and what faults do to the process that it has now.
 * Subclasses differ in what a process is. All calls come from the run's one thread.
 */
public abstract class NodeHandle {
    /** SIGKILL comes no earlier than the longest deadline and this time after SIGTERM (PROTOCOL). */
    private static final long TERMINATION_GRACE_US = 700_000;

    protected final Scenario scenario;
    protected final InvariantChecker checker;
    protected final Scheduler scheduler;

    private final int number;
    private final LongSupplier nowUs;
    private final Map<Fault, Excuse> linkExcuses = new HashMap<>();
    private Optional<Excuse> pauseExcuse = Optional.empty();
    private int generation;

    /**
     * Creates a node without a process.
     *
     * @param nowUs gives the time since the load began, in microseconds
     */
    protected NodeHandle(
            int number, Scenario scenario, InvariantChecker checker, Scheduler scheduler, LongSupplier nowUs) {
        this.number = number;
        this.scenario = scenario;
        this.checker = checker;
        this.scheduler = scheduler;
        this.nowUs = nowUs;
    }

    /** Returns its number, from 0. */
    public final int number() {
        return number;
    }

    /** Returns its name, such as {@code node-0}. */
    public final String name() {
        return ProcessNames.node(number);
    }

    /** Returns a number that changes with each start and end of its process: later events may be outdated. */
    public final int generation() {
        return generation;
    }

    /** Makes what was scheduled for the present process outdated. */
    protected final void advanceGeneration() {
        generation++;
    }

    /** Returns the time since the load began, in microseconds. */
    protected final long nowUs() {
        return nowUs.getAsLong();
    }

    /** Returns whether its process is stopped by SIGSTOP. */
    protected abstract boolean isPaused();

    /** Returns whether it has a process. */
    public abstract boolean isAlive();

    /** Returns whether it is a running member, which has to be present in all other views. */
    protected abstract boolean isUp();

    /** Returns the nodes that are present in its membership view; none if there is no view. */
    protected abstract Set<Integer> presentMembers();

    /** Stops its process (SIGSTOP), or resumes it (SIGCONT). */
    public abstract void setPaused(boolean paused);

    /** Kills its process (SIGKILL). */
    public abstract void kill();

    /** Starts the graceful shutdown of its process (SIGTERM). */
    public abstract void terminate();

    /** Starts a process again once a fault that ended the old one is over. */
    public abstract void restart();

    /** A fault of its process or of a link to another node begins or ends. */
    public final void faultChanged(boolean begins) {
        checker.membershipChecker().ifPresent(members -> members.faultChanged(number, begins, nowUs()));
    }

    /** Its link from the clients has a fault from now on. */
    final void clientLinkFaultBegan(Fault fault) {
        linkExcuses.put(fault, checker.excuseNode(nowUs(), number));
    }

    /** The fault is over, and what it delayed has passed at {@code clearedUs}. */
    final void clientLinkFaultEnded(Fault fault, long clearedUs) {
        linkExcuses.remove(fault).end(clearedUs);
    }

    /** Excuses the node from now on because its process is stopped. */
    protected final void beginPauseExcuse() {
        pauseExcuse = Optional.of(checker.excuseNode(nowUs(), number));
    }

    /** Ends the excuse of a stopped process, if there is one. */
    protected final void endPauseExcuse() {
        pauseExcuse.ifPresent(excuse -> excuse.end(nowUs()));
    }

    /** Kills the present process if it has not ended in the time that it has for it after SIGTERM. */
    protected final void enforceTermination() {
        int terminating = generation;
        scheduler.after(scenario.longestDeadlineUs() + TERMINATION_GRACE_US, () -> killIfStillAlive(terminating));
    }

    private void killIfStillAlive(int terminating) {
        if (generation != terminating) {
            return;
        }
        if (isPaused()) {
            // A stopped process has not seen the signal yet.
            scheduler.after(TERMINATION_GRACE_US, () -> killIfStillAlive(terminating));
        } else if (isAlive()) {
            checker.resourceLeaked(nowUs(), name() + " is still there after SIGTERM");
            kill();
        }
    }
}
