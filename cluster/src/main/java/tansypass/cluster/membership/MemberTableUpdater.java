package tansypass.cluster.membership;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import tansypass.cluster.membership.MembershipCounters.Name;
import tansypass.cluster.runtime.Scheduler;

/**
 * Decides which updates are put into the member table, and is the only class that changes it. On each change of an
 * entry, it broadcasts the entry, starts and cancels the timers that the new state requires, and notifies the listener.
 */
final class MemberTableUpdater implements MemberUpdates {
    private final ProtocolState state;
    private final Dissemination dissemination;
    private final ProbeOrder probeOrder;
    private final SuspicionTracker suspicionTracker;
    private final IncarnationGuard incarnationGuard;
    private final MemberListener listener;
    private final Map<String, Scheduler.Timer> reapTimers = new HashMap<>();

    MemberTableUpdater(
            ProtocolState state,
            Dissemination dissemination,
            ProbeOrder probeOrder,
            SuspicionTracker suspicionTracker,
            IncarnationGuard incarnationGuard,
            MemberListener listener) {
        this.state = state;
        this.dissemination = dissemination;
        this.probeOrder = probeOrder;
        this.suspicionTracker = suspicionTracker;
        this.incarnationGuard = incarnationGuard;
        this.listener = listener;
    }

    @Override
    public void apply(Member update) {
        String name = update.identity().name();
        if (name.equals(state.self().name())) {
            incarnationGuard.onUpdate(update);
            return;
        }
        Optional<Member> current = state.table().find(name);
        if (current.isEmpty()) {
            applyToUnknown(update);
        } else if (isSameSuspicion(update, current.get())) {
            confirmSuspicion(update);
        } else if (update.overrides(current.get())) {
            adoptIfCompatible(update);
        }
    }

    private void confirmSuspicion(Member update) {
        if (suspicionTracker.confirm(update.identity().name(), update.suspectedBy())) {
            dissemination.broadcast(update);
        }
    }

    private void applyToUnknown(Member update) {
        if (!isCompatible(update)) {
            state.counters().increment(Name.DROPPED_VERSION);
        } else if (state.table().isFull()) {
            state.counters().increment(Name.DROPPED_FULL);
        } else if (update.isPresent()) {
            // If a member that is not in the table failed or left, it needs no entry.
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

    private static boolean isSameSuspicion(Member update, Member current) {
        return update.state() == MemberState.SUSPECT
                && current.state() == MemberState.SUSPECT
                && update.incarnation() == current.incarnation()
                && update.identity().isSameProcess(current.identity());
    }

    @Override
    public void adopt(Member member) {
        String name = member.identity().name();
        Optional<Member> before = state.table().find(name);
        state.table().put(member, state.scheduler().nowUs());
        dissemination.broadcast(member);
        suspicionTracker.cancel(name);
        cancelReap(name);
        switch (member.state()) {
            case SUSPECT -> suspicionTracker.start(member);
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

    /**
     * Removes a member that failed or left long ago. Until then, its entry prevents outdated updates from adding it
     * again.
     */
    private void reap(String name) {
        reapTimers.remove(name);
        Optional<Member> reaped = state.table().find(name).filter(member -> !member.isPresent());
        if (!state.isStopped() && reaped.isPresent()) {
            state.table().remove(name);
            listener.onReap(reaped.get());
        }
    }
}
