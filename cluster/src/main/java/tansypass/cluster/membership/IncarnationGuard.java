package tansypass.cluster.membership;

import tansypass.cluster.membership.MembershipCounters.Name;

/**
 * Handles updates of others about this process: refutes suspicion under a higher incarnation (SWIM, section 4.2), and
 * resolves a conflict with another process of the same name. Only this process raises its own incarnation.
 */
final class IncarnationGuard {
    /** How often a superseded process checks whether its namesake still responds. */
    private static final long CONFLICT_CHECK_INTERVAL_US = 30_000_000;
    /** How long the namesake has to respond, in periods. */
    private static final int CONFLICT_PING_PERIODS = 2;

    private final ProtocolState state;
    private final Dissemination dissemination;
    private final OutstandingProbes probes;
    private final MemberUpdates updates;
    /** Whether a later generation of this name at another address, the namesake, responds or may respond. */
    private boolean hasNamesake;

    IncarnationGuard(
            ProtocolState state, Dissemination dissemination, OutstandingProbes probes, MemberUpdates updates) {
        this.state = state;
        this.dissemination = dissemination;
        this.probes = probes;
        this.updates = updates;
    }

    /** Enters this process into its own table as alive, and broadcasts it. */
    void announce() {
        updates.adopt(state.selfAs(MemberState.ALIVE));
    }

    /** Announces under a new incarnation whether this process serves clients, and gossips it at once. */
    void setServing(boolean serving) {
        if (state.isStopped() || state.isDraining() != serving) {
            return;
        }
        state.setDraining(!serving);
        state.setIncarnation(state.incarnation() + 1);
        announce();
        dissemination.gossipNow();
    }

    /** Handles an update about this process's own name. */
    void onUpdate(Member update) {
        Identity subject = update.identity();
        if (subject.isSameProcess(state.self())) {
            defend(update);
        } else if (subject.supersedes(state.self()) && !hasNamesake) {
            state.counters().increment(Name.NAME_CONFLICTS);
            boolean isEarlierRun =
                    !update.isPresent() || subject.address().equals(state.self().address());
            if (isEarlierRun) {
                // An earlier run has a later generation if the clock was stepped back between the two.
                supersede(subject);
            } else {
                pingNamesake(subject);
            }
        }
    }

    private void defend(Member update) {
        if (update.state() != MemberState.ALIVE && update.incarnation() >= state.incarnation()) {
            state.counters().increment(Name.REFUTED);
            state.health().degrade(1);
            state.setIncarnation(update.incarnation() + 1);
            announce();
            // At once: a process that gets little CPU time may be declared failed before its next gossip round.
            dissemination.gossipNow();
        } else if (update.incarnation() > state.incarnation()) {
            // Only this process raises its incarnation, so the update is forged; it has to be overridden all the same.
            state.setIncarnation(update.incarnation() + 1);
            announce();
        }
    }

    /** Takes the name back from an identity that no longer responds, under a later generation. */
    private void supersede(Identity earlier) {
        state.startGeneration(earlier.generation() + 1);
        announce();
    }

    /** While another process of this name and a later generation responds, this one stays out of the cluster. */
    private void pingNamesake(Identity other) {
        hasNamesake = true;
        long sequenceNumber = state.nextSequenceNumber();
        probes.begin(sequenceNumber, () -> {
            state.setSuperseded();
            state.scheduler().after(CONFLICT_CHECK_INTERVAL_US, () -> pingNamesake(other));
        });
        dissemination.send(
                other.address(),
                new Message.Ping(
                        dissemination.newEnvelope(),
                        sequenceNumber,
                        state.self().name()));
        state.scheduler().after(state.settings().periodUs() * CONFLICT_PING_PERIODS, () -> {
            if (probes.end(sequenceNumber) && !state.isStopped()) {
                hasNamesake = false;
                supersede(other);
            }
        });
    }
}
