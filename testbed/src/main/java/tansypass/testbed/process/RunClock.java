package tansypass.testbed.process;

import tansypass.cluster.runtime.Scheduler;

/** Measures the time since the load began, which the checker and the reports use. Not thread-safe. */
final class RunClock {
    private final Scheduler scheduler;
    private long loadStartUs;

    RunClock(Scheduler scheduler) {
        this.scheduler = scheduler;
        loadStartUs = scheduler.nowUs();
    }

    /** Sets the current time to 0; earlier times are negative. */
    void markLoadStart() {
        loadStartUs = scheduler.nowUs();
    }

    /** Returns the time since the load began, in microseconds. */
    long nowUs() {
        return scheduler.nowUs() - loadStartUs;
    }
}
