package tansypass.cluster.membership;

import tansypass.cluster.membership.MembershipCounters.Name;

/**
 * Handles updates from peers about the name of this process. It refutes a suspicion by announcing this process under a
 * higher incarnation (SWIM, section 4.2), and it resolves conflicts with another process of the same name. Only this
 * process raises its own incarnation.
 */
final class IncarnationGuard {
    /** The interval at which a superseded process checks whether the other process of its name still responds. */
    private static final long CONFLICT_CHECK_INTERVAL_US = 30_000_000;
    /** The time that the other process of the same name has to respond, in protocol periods. */
    private static final int CONFLICT_PING_PERIODS = 2;

    private final ProtocolState state;
    private final Dissemination dissemination;
    private final OutstandingProbes probes;
    private final MemberUpdates updates;
    /** True while a later generation of this name at another address is being pinged or has responded. */
    private boolean hasNameConflict;

    IncarnationGuard(
            ProtocolState state, Dissemination dissemination, OutstandingProbes probes, MemberUpdates updates) {
        this.state = state;
        this.dissemination = dissemination;
        this.probes = probes;
        this.updates = updates;
    }

    /** Puts this process into its own member table as alive, and broadcasts the entry. */
    void announce() {
        updates.adopt(state.selfAs(MemberState.ALIVE));
    }

    /** Announces whether this process serves clients, under a new incarnation, and starts a gossip round at once. */
    void setServing(boolean serving) {
        if (state.isStopped() || state.isDraining() != serving) {
            return;
        }
        state.setDraining(!serving);
        state.setIncarnation(state.incarnation() + 1);
        announce();
        dissemination.gossipNow();
    }

    /** Handles an update about the name of this process. */
    void onUpdate(Member update) {
        Identity subject = update.identity();
        if (subject.isSameProcess(state.self())) {
            refute(update);
        } else if (subject.supersedes(state.self()) && !hasNameConflict) {
            state.counters().increment(Name.NAME_CONFLICTS);
            boolean isEarlierRun =
                    !update.isPresent() || subject.address().equals(state.self().address());
            if (isEarlierRun) {
                // An earlier run of this process has a later generation if the clock was set back before the restart.
                supersede(subject);
            } else {
                pingConflictingProcess(subject);
            }
        }
    }

    private void refute(Member update) {
        if (update.state() != MemberState.ALIVE && update.incarnation() >= state.incarnation()) {
            state.counters().increment(Name.REFUTED);
            state.health().degrade(1);
            state.setIncarnation(update.incarnation() + 1);
            announce();
            // Gossips at once: a process that gets little CPU time may be declared failed before its next gossip round.
            dissemination.gossipNow();
        } else if (update.incarnation() > state.incarnation()) {
            // Only this process raises its incarnation, so the update is forged. It still has to be overridden.
            state.setIncarnation(update.incarnation() + 1);
            announce();
        }
    }

    /** Takes over the name from an identity that no longer responds, by starting a later generation. */
    private void supersede(Identity other) {
        state.startGeneration(other.generation() + 1);
        announce();
    }

    /**
     * Pings another process that has the name of this one and a later generation. While it responds, this process stays
     * out of the cluster and repeats the ping; otherwise this process supersedes it.
     */
    private void pingConflictingProcess(Identity other) {
        hasNameConflict = true;
        long sequenceNumber = state.nextSequenceNumber();
        probes.begin(sequenceNumber, () -> {
            state.setSuperseded();
            state.scheduler().after(CONFLICT_CHECK_INTERVAL_US, () -> pingConflictingProcess(other));
        });
        dissemination.send(
                other.address(),
                new Message.Ping(
                        dissemination.newEnvelope(),
                        sequenceNumber,
                        state.self().name()));
        state.scheduler().after(state.settings().periodUs() * CONFLICT_PING_PERIODS, () -> {
            if (probes.end(sequenceNumber) && !state.isStopped()) {
                hasNameConflict = false;
                supersede(other);
            }
        });
    }
}
