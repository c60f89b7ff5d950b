package tansypass.cluster.membership;

import java.util.HashSet;
import java.util.Set;
import tansypass.cluster.runtime.Scheduler;

/**
 * The suspicion timer of one suspect. The timeout is longest while only one process suspects the member, and each
 * process that confirms the suspicion shortens it (Lifeguard, section IV B).
 */
final class Suspicion {
    private final Scheduler scheduler;
    private final Runnable onTimeout;
    private final long minTimeoutUs;
    private final long maxTimeoutUs;
    private final int expectedConfirmations;
    private final long startedUs;
    private final Set<String> suspectedBy = new HashSet<>();
    private Scheduler.Timer timer;

    /**
     * Starts the timer.
     *
     * @param minTimeoutUs the timeout after {@code expectedConfirmations} confirmations
     * @param maxTimeoutUs the timeout without any confirmation; not used if no confirmation is expected
     * @param expectedConfirmations the number of confirmations that reduce the timeout to the minimum
     * @param firstSuspectedBy the name of the process that raised the suspicion
     * @param onTimeout runs at the timeout, unless the timer is cancelled before
     */
    Suspicion(
            Scheduler scheduler,
            long minTimeoutUs,
            long maxTimeoutUs,
            int expectedConfirmations,
            String firstSuspectedBy,
            Runnable onTimeout) {
        this.scheduler = scheduler;
        this.minTimeoutUs = minTimeoutUs;
        this.maxTimeoutUs = expectedConfirmations > 0 ? maxTimeoutUs : minTimeoutUs;
        this.expectedConfirmations = expectedConfirmations;
        this.onTimeout = onTimeout;
        startedUs = scheduler.nowUs();
        suspectedBy.add(firstSuspectedBy);
        timer = scheduler.after(this.maxTimeoutUs, onTimeout);
    }

    /**
     * Records that one more process suspects the member, and shortens the timeout. Returns whether the confirmation
     * counts: whether it is the first from this process and the expected number was not yet reached.
     */
    boolean confirm(String processName) {
        if (suspectedBy.size() > expectedConfirmations || !suspectedBy.add(processName)) {
            return false;
        }
        double confirmedFraction = Math.log(suspectedBy.size()) / Math.log(expectedConfirmations + 1.0);
        long timeoutUs =
                Math.max(minTimeoutUs, Math.round(maxTimeoutUs - confirmedFraction * (maxTimeoutUs - minTimeoutUs)));
        timer.cancel();
        timer = scheduler.after(startedUs + timeoutUs - scheduler.nowUs(), onTimeout);
        return true;
    }

    /** Cancels the timer. */
    void cancel() {
        timer.cancel();
    }
}
