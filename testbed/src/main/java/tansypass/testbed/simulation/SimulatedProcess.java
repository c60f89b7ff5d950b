package tansypass.testbed.simulation;

import java.util.ArrayDeque;
import java.util.Deque;
import tansypass.cluster.runtime.Scheduler;

/**
 * A process in virtual time. While the process is paused, its events and the timers that are due wait; a kill drops
 * them.
 */
final class SimulatedProcess implements Scheduler {
    private final Scheduler scheduler;
    private final Deque<Runnable> pendingEvents = new ArrayDeque<>();
    private boolean isPaused;
    private boolean isDead;

    SimulatedProcess(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    boolean isPaused() {
        return isPaused;
    }

    boolean isDead() {
        return isDead;
    }

    /** Returns the number of events that wait until the process is resumed. */
    int pendingEventCount() {
        return pendingEvents.size();
    }

    /** Runs an event now. While the process is paused, the event waits until the resume; a dead process drops it. */
    void deliver(Runnable event) {
        if (isPaused) {
            pendingEvents.add(event);
        } else if (!isDead) {
            event.run();
        }
    }

    @Override
    public long nowUs() {
        return scheduler.nowUs();
    }

    @Override
    public Timer after(long delayUs, Runnable task) {
        boolean[] cancelled = new boolean[1];
        Timer timer = scheduler.after(
                delayUs,
                () -> deliver(() -> {
                    if (!cancelled[0]) {
                        task.run();
                    }
                }));
        return () -> {
            cancelled[0] = true;
            timer.cancel();
        };
    }

    /** Pauses the process (SIGSTOP), or resumes it and runs the waiting events (SIGCONT). */
    void setPaused(boolean paused) {
        isPaused = paused && !isDead;
        while (!isPaused && !pendingEvents.isEmpty()) {
            pendingEvents.poll().run();
        }
    }

    /** Kills the process (SIGKILL). */
    void kill() {
        isDead = true;
        isPaused = false;
        pendingEvents.clear();
    }
}
