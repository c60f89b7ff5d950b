package tansypass.cluster.membership;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import tansypass.cluster.membership.MembershipCounters.Name;
import tansypass.cluster.runtime.Scheduler;

/**
 * Decides which updates enter the member table, and is the only one to change it. With each change it broadcasts the
 * entry, starts and cancels the timers that its state requires, and notifies the listener.
 */
final class MemberTableUpdater implements MemberUpdates {
    private final ProtocolState state;
    private final Dissemination dissemination;
    private final ProbeOrder probeOrder;
    private final SuspicionTracker suspicions;
    private final IncarnationGuard incarnations;
    private final MemberListener listener;
    private final Map<String, Scheduler.Timer> reapTimers = new HashMap<>();

    MemberTableUpdater(
            ProtocolState state,
            Dissemination dissemination,
            ProbeOrder probeOrder,
            SuspicionTracker suspicions,
            IncarnationGuard incarnations,
            MemberListener listener) {
        this.state = state;
        this.dissemination = dissemination;
        this.probeOrder = probeOrder;
        this.suspicions = suspicions;
        this.incarnations = incarnations;
        this.listener = listener;
    }

    @Override
    public void apply(Member update) {
        String name = update.identity().name();
        if (name.equals(state.self().name())) {
            incarnations.onUpdate(update);
            return;
        }
        Optional<Member> known = state.table().find(name);
        if (known.isEmpty()) {
            applyToUnknown(update);
        } else if (isSameSuspicion(update, known.get())) {
            confirmSuspicion(update);
        } else if (update.overrides(known.get())) {
            adoptIfCompatible(update);
        }
    }

    private void confirmSuspicion(Member update) {
        if (suspicions.confirm(update.identity().name(), update.suspectedBy())) {
            dissemination.broadcast(update);
        }
    }

    private void applyToUnknown(Member update) {
        if (!isCompatible(update)) {
            state.counters().increment(Name.DROPPED_VERSION);
        } else if (state.table().isFull()) {
            state.counters().increment(Name.DROPPED_FULL);
        } else if (update.isPresent()) {
            // A failure or leave of a member that was never known here needs no entry.
            adopt(update);
        }
    }

    private void adoptIfCompatible(Member update) {
        if (isCompatible(update)) {
            adopt(update);
        } else {
            state.counters().increment(Name.DROPPED_VERSION);
        }
    }

    private boolean isCompatible(Member update) {
        return state.self().isCompatibleWith(update.identity());
    }

    private static boolean isSameSuspicion(Member update, Member known) {
        return update.state() == MemberState.SUSPECT
                && known.state() == MemberState.SUSPECT
                && update.incarnation() == known.incarnation()
                && update.identity().isSameProcess(known.identity());
    }

    @Override
    public void adopt(Member member) {
        String name = member.identity().name();
        Optional<Member> before = state.table().find(name);
        state.table().put(member, state.scheduler().nowUs());
        dissemination.broadcast(member);
        suspicions.cancel(name);
        cancelReap(name);
        switch (member.state()) {
            case SUSPECT -> suspicions.start(member);
            case FAILED, LEFT -> scheduleReap(name);
            default -> {
                boolean wasPresent = before.isPresent() && before.get().isPresent();
                if (!wasPresent) {
                    probeOrder.add(name);
                }
            }
        }
        listener.onUpdate(before, member);
    }

    private void cancelReap(String name) {
        Scheduler.Timer timer = reapTimers.remove(name);
        if (timer != null) {
            timer.cancel();
        }
    }

    private void scheduleReap(String name) {
        long delayUs = state.settings().reapDelayUs();
        reapTimers.put(name, state.scheduler().after(delayUs, () -> reap(name)));
    }

    /** Removes a member that failed or left long ago; until then its entry rejects outdated updates about it. */
    private void reap(String name) {
        reapTimers.remove(name);
        Optional<Member> reaped = state.table().find(name).filter(member -> !member.isPresent());
        if (!state.isStopped() && reaped.isPresent()) {
            state.table().remove(name);
            listener.onReap(reaped.get());
        }
    }
}
