package tansypass.cluster.runtime;

/**
 * The clock and the timers of one single-threaded state machine, provided by an event loop or, in simulations, by
 * virtual time. All times are microseconds of a monotonic clock with an arbitrary origin.
 */
public interface Scheduler {

    /** Returns the current time in microseconds, which never goes backwards. */
    long nowUs();

    /**
     * Schedules a task to run once, on the scheduler's thread, after a delay.
     *
     * @param delayUs the minimum delay; if it is zero or negative, the task runs as soon as possible, but never within
     *     this call
     */
    Timer after(long delayUs, Runnable task);

    /** A scheduled task. */
    interface Timer {
        /** Cancels the task; does nothing if the task has already run. */
        void cancel();
    }
}
