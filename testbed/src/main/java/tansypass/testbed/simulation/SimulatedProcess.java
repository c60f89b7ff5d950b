package tansypass.testbed.simulation;

import java.util.ArrayDeque;
import java.util.Deque;
import tansypass.cluster.runtime.Scheduler;

/**
 * A process in virtual time: events for it and its own timers wait while it is paused, and are dropped when it
 * is killed.
 */
final class SimulatedProcess implements Scheduler {
    private final Scheduler scheduler;
    private final Deque<Runnable> waitingEvents = new ArrayDeque<>();
    private boolean paused;
    private boolean dead;

    SimulatedProcess(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    boolean isPaused() {
        return paused;
    }

    boolean isDead() {
        return dead;
    }

    /** Returns how many events wait until it is resumed. */
    int waiting() {
        return waitingEvents.size();
    }

    /** Runs an event in it: at once, when it is resumed, or never. */
    void deliver(Runnable event) {
        if (paused) {
            waitingEvents.add(event);
        } else if (!dead) {
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

    /** Pauses it (SIGSTOP), or resumes it and runs what waited (SIGCONT). */
    void setPaused(boolean paused) {
        this.paused = paused && !dead;
        while (!this.paused && !waitingEvents.isEmpty()) {
            waitingEvents.poll().run();
        }
    }

    /** Kills it (SIGKILL). */
    void kill() {
        dead = true;
        paused = false;
        waitingEvents.clear();
    }
}
