package tansypass.cluster.membership;

import java.util.HashMap;
import java.util.Map;
import tansypass.cluster.membership.MembershipCounters.Name;

/**
 * Runs a timer for each suspect, which is shortened with each further process that suspects it too (Lifeguard, section
 * IV B), and declares a suspect failed that has not refuted the suspicion by then.
 */
final class SuspicionTracker {
    /** A smaller cluster waits as long as one of this size: a paused process does not resume sooner in it. */
    private static final int MIN_CLUSTER_SIZE = 50;
    /** Final pings to a suspect before it counts as failed: a single datagram may get lost. */
    private static final int FINAL_PINGS = 4;

    private final ProtocolState state;
    private final FailureDetector detector;
    private final MemberUpdates updates;
    private final Map<String, Suspicion> suspicions = new HashMap<>();

    SuspicionTracker(ProtocolState state, FailureDetector detector, MemberUpdates updates) {
        this.state = state;
        this.detector = detector;
        this.updates = updates;
    }

    /** Starts the timer of a suspect. */
    void start(Member suspect) {
        state.counters().increment(Name.SUSPECTED);
        MembershipSettings settings = state.settings();
        int clusterSize = state.table().present().size();
        long minUs = Math.round(settings.suspicionMultiplier()
                * Math.log10(Math.max(MIN_CLUSTER_SIZE, clusterSize))
                * settings.periodUs()
                * state.health().multiplier());
        long maxUs = Math.round(settings.maxSuspicionMultiplier() * minUs);
        // With too few other processes to confirm the suspicion, waiting for them would only delay the failure.
        int confirmers = clusterSize - 2;
        int confirmations = confirmers < settings.indirectProbes() ? 0 : settings.indirectProbes();
        Suspicion suspicion = new Suspicion(
                state.scheduler(),
                minUs,
                maxUs,
                confirmations,
                suspect.suspectedBy(),
                () -> pingBeforeFailing(suspect, 0));
        suspicions.put(suspect.identity().name(), suspicion);
    }

    /** Records that one more process suspects a member; returns whether that was new. */
    boolean confirm(String name, String suspectedBy) {
        Suspicion suspicion = suspicions.get(name);
        return suspicion != null && suspicion.confirm(suspectedBy);
    }

    /** Cancels the timer of a member, if it has one. */
    void cancel(String name) {
        Suspicion suspicion = suspicions.remove(name);
        if (suspicion != null) {
            suspicion.cancel();
        }
    }

    /** Pings the suspect before declaring it failed: its refutation may not have reached this process. */
    private void pingBeforeFailing(Member suspect, int pingsSent) {
        if (pingsSent == FINAL_PINGS) {
            fail(suspect);
        } else if (!state.isStopped() && state.table().isCurrent(suspect)) {
            detector.ping(suspect, state.nextSequenceNumber());
            long waitUs = state.settings().probeTimeoutUs() / 3 * state.health().multiplier();
            state.scheduler().after(waitUs, () -> pingBeforeFailing(suspect, pingsSent + 1));
        }
    }

    private void fail(Member suspect) {
        if (!state.isStopped() && state.table().isCurrent(suspect)) {
            state.counters().increment(Name.FAILED);
            updates.adopt(suspect.withState(MemberState.FAILED, suspect.incarnation(), ""));
        }
    }
}
