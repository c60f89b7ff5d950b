package tansypass.cluster.membership;

import java.util.HashMap;
import java.util.Map;
import tansypass.cluster.membership.MembershipCounters.Name;

/**
 * Runs a suspicion timer for each suspect, and declares a suspect failed if it does not refute the suspicion before the
 * timeout. Each further process that suspects the same member shortens the timeout (Lifeguard, section IV B).
 */
final class SuspicionTracker {
    /**
     * The minimum cluster size from which the suspicion timeout is computed. In a smaller cluster a paused process does
     * not resume any sooner, so it needs as much time.
     */
    private static final int MIN_CLUSTER_SIZE = 50;
    /** The number of pings that a suspect gets before it is declared failed, because a single datagram may get lost. */
    private static final int FINAL_PINGS = 4;

    private final ProtocolState state;
    private final FailureDetector failureDetector;
    private final MemberUpdates updates;
    private final Map<String, Suspicion> suspicions = new HashMap<>();

    SuspicionTracker(ProtocolState state, FailureDetector failureDetector, MemberUpdates updates) {
        this.state = state;
        this.failureDetector = failureDetector;
        this.updates = updates;
    }

    /** Starts the timer of a suspect. */
    void start(Member suspect) {
        state.counters().increment(Name.SUSPECTED);
        MembershipSettings settings = state.settings();
        int clusterSize = state.table().present().size();
        long minTimeoutUs = Math.round(settings.suspicionMultiplier()
                * Math.log10(Math.max(MIN_CLUSTER_SIZE, clusterSize))
                * settings.periodUs()
                * state.health().multiplier());
        long maxTimeoutUs = Math.round(settings.maxSuspicionMultiplier() * minTimeoutUs);
        // With too few other processes to confirm the suspicion, waiting for confirmations would only delay detection.
        int possibleConfirmations = clusterSize - 2;
        int expectedConfirmations = possibleConfirmations < settings.indirectProbes() ? 0 : settings.indirectProbes();
        Suspicion suspicion = new Suspicion(
                state.scheduler(),
                minTimeoutUs,
                maxTimeoutUs,
                expectedConfirmations,
                suspect.suspectedBy(),
                () -> pingBeforeFailing(suspect, 0));
        suspicions.put(suspect.identity().name(), suspicion);
    }

    /**
     * Records that one more process suspects a member. Returns whether this shortened the timeout, so that the
     * confirmation is worth disseminating.
     */
    boolean confirm(String memberName, String suspectedBy) {
        Suspicion suspicion = suspicions.get(memberName);
        return suspicion != null && suspicion.confirm(suspectedBy);
    }

    /** Cancels the suspicion timer of a member, if there is one. */
    void cancel(String memberName) {
        Suspicion suspicion = suspicions.remove(memberName);
        if (suspicion != null) {
            suspicion.cancel();
        }
    }

    /** Pings the suspect before declaring it failed, because its refutation may not have reached this process. */
    private void pingBeforeFailing(Member suspect, int pingsSent) {
        if (pingsSent == FINAL_PINGS) {
            fail(suspect);
        } else if (!state.isStopped() && state.table().isCurrent(suspect)) {
            failureDetector.ping(suspect, state.nextSequenceNumber());
            long intervalUs =
                    state.settings().probeTimeoutUs() / 3 * state.health().multiplier();
            state.scheduler().after(intervalUs, () -> pingBeforeFailing(suspect, pingsSent + 1));
        }
    }

    private void fail(Member suspect) {
        if (!state.isStopped() && state.table().isCurrent(suspect)) {
            state.counters().increment(Name.FAILED);
            updates.adopt(suspect.withState(MemberState.FAILED, suspect.incarnation(), ""));
        }
    }
}
