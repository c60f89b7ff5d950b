package tansypass.testbed.process;

import tansypass.cluster.runtime.Scheduler;

/** The time since the load began, as the checker and reports have it. Not thread-safe. */
final class RunClock {
    private final Scheduler scheduler;
    private long loadStartUs;

    RunClock(Scheduler scheduler) {
        this.scheduler = scheduler;
        loadStartUs = scheduler.nowUs();
    }

    /** Sets the time to 0; what happened before has negative times. */
    void markLoadStart() {
        loadStartUs = scheduler.nowUs();
    }

    /** Returns the time since the load began, in microseconds. */
    long nowUs() {
        return scheduler.nowUs() - loadStartUs;
    }
}
