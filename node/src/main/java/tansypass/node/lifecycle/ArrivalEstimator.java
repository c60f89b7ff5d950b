package tansypass.node.lifecycle;

import io.netty.util.concurrent.FastThreadLocal;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Estimates when the bytes and connections that an event loop reads from the kernel's queues arrived there. The
 * kernel does not report these times. What a poll finds without waiting may have arrived at any time since the
 * previous poll, for example during a long iteration of the loop. What ends the wait of a poll has only just arrived.
 * All times are in nanoseconds by {@link System#nanoTime}. Each event loop has one estimator, which is used on its
 * thread only.
 */
public final class ArrivalEstimator {
    /** A poll that returns sooner has not waited: it found input that had arrived before. */
    private static final long MIN_WAIT_NS = TimeUnit.MILLISECONDS.toNanos(1);

    private static final FastThreadLocal<ArrivalEstimator> CURRENT = new FastThreadLocal<>();

    private final LongSupplier clock;
    /** The end of the poll before the last one. */
    private long previousPollEndNs;

    private long pollStartNs;
    private long pollTimeoutNs;
    private long pollEndNs;

    /** Creates the estimator of an event loop that has not polled yet. */
    ArrivalEstimator(LongSupplier clock) {
        this.clock = clock;
        previousPollEndNs = clock.getAsLong();
        pollStartNs = previousPollEndNs;
        pollEndNs = previousPollEndNs;
    }

    /**
     * Returns the earliest time at which the input that the present event loop is reading may have arrived; the
     * present time on a thread without an estimator.
     */
    public static long earliestArrivalNs() {
        ArrivalEstimator current = CURRENT.get();
        return current == null ? System.nanoTime() : current.earliestNs();
    }

    /** Returns the time since the last poll of the present event loop; 0 on a thread without an estimator. */
    public static long sincePollNs() {
        ArrivalEstimator current = CURRENT.get();
        return current == null ? 0 : current.clock.getAsLong() - current.pollEndNs;
    }

    /** Makes this the estimator of the calling thread. */
    void bindToThread() {
        CURRENT.set(this);
    }

    /** Records that a poll starts. It does not wait unless {@link #onPollTimeout} follows. */
    void onPollStart() {
        pollStartNs = clock.getAsLong();
        pollTimeoutNs = 0;
    }

    /** Returns the time from the end of the previous poll to the start of the present one. */
    long busyNs() {
        return pollStartNs - pollEndNs;
    }

    /** Records how long the present poll may wait. */
    void onPollTimeout(long timeoutNs) {
        pollTimeoutNs = Math.max(0, timeoutNs);
    }

    /** Records that the poll has returned, before anything that it found is processed. */
    void onPollEnd() {
        previousPollEndNs = pollEndNs;
        pollEndNs = clock.getAsLong();
    }

    /** Returns the earliest time at which the input found by the last poll may have arrived. */
    long earliestNs() {
        long waitedNs = pollEndNs - pollStartNs;
        if (pollTimeoutNs == 0 || waitedNs < MIN_WAIT_NS) {
            return previousPollEndNs;
        }
        // After its timeout, the thread was resumed late: the input may have arrived at any time since the timeout.
        return pollEndNs - Math.max(0, waitedNs - pollTimeoutNs);
    }
}
