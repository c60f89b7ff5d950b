package tansypass.cluster.membership;

import java.net.InetSocketAddress;
import java.util.Optional;
import tansypass.cluster.membership.MembershipCounters.Name;

/**
 * Probes one member after the other, directly and then indirectly through helpers (SWIM, section 3.1), and suspects a
 * member from which no ack was received. Timeouts are extended while this process itself seems unhealthy (Lifeguard,
 * section IV A). Also responds to the pings and indirect probes of others.
 */
final class FailureDetector {
    /** Probes outstanding at once; beyond it, requests for indirect probes are dropped and get not even a nack. */
    private static final int MAX_OUTSTANDING_PROBES = 64;
    /** A helper sends a nack after this share of the probe timeout (Lifeguard, section IV A). */
    private static final double NACK_DELAY_SHARE = 0.8;
    /**
     * Probe timeouts until a probe has failed: by then the helpers' own timeouts are over, and their nacks received.
     */
    private static final double TIMEOUTS_UNTIL_FAILED = 2.2;

    private final ProtocolState state;
    private final Dissemination dissemination;
    private final OutstandingProbes probes;
    private final ProbeOrder order;
    private final MemberUpdates updates;

    FailureDetector(
            ProtocolState state,
            Dissemination dissemination,
            OutstandingProbes probes,
            ProbeOrder order,
            MemberUpdates updates) {
        this.state = state;
        this.dissemination = dissemination;
        this.probes = probes;
        this.order = order;
        this.updates = updates;
    }

    /** Starts to probe. */
    void start() {
        state.scheduler().after(state.jittered(state.settings().periodUs()), this::probeNext);
    }

    private void probeNext() {
        if (state.isStopped()) {
            return;
        }
        int peers = state.table().present().size() - 1;
        int probesPerPeriod = Math.max(1, Math.min(state.settings().probesPerPeriod(), peers));
        long intervalUs = scaledByHealth(state.settings().periodUs()) / probesPerPeriod;
        state.scheduler().after(intervalUs, this::probeNext);
        if (state.isSuperseded()) {
            return;
        }
        order.next(state::presentPeerNames, state::isPresentPeer)
                .flatMap(state.table()::find)
                .ifPresent(this::probe);
    }

    private long scaledByHealth(long timeUs) {
        return timeUs * state.health().multiplier();
    }

    private void probe(Member target) {
        state.counters().increment(Name.PROBES);
        long sequenceNumber = state.nextSequenceNumber();
        probes.begin(sequenceNumber, state.health()::improve);
        ping(target, sequenceNumber);
        long probeTimeoutUs = state.settings().probeTimeoutUs();
        state.scheduler().after(scaledByHealth(probeTimeoutUs), () -> requestIndirectProbes(target, sequenceNumber));
        long failAfterUs =
                Math.min(state.settings().periodUs() - 1, Math.round(TIMEOUTS_UNTIL_FAILED * probeTimeoutUs));
        state.scheduler().after(scaledByHealth(failAfterUs), () -> failProbe(target, sequenceNumber));
    }

    /** Pings a member under a sequence number that may or may not be that of an outstanding probe. */
    void ping(Member target, long sequenceNumber) {
        // A suspect is always notified of the suspicion, so that it can refute it (Lifeguard, section IV C).
        Optional<Member> firstUpdate = Optional.of(target).filter(member -> member.state() == MemberState.SUSPECT);
        Identity identity = target.identity();
        dissemination.send(
                identity.address(),
                new Message.Ping(dissemination.newEnvelope(firstUpdate), sequenceNumber, identity.name()));
    }

    private void requestIndirectProbes(Member target, long sequenceNumber) {
        if (!probes.isOutstanding(sequenceNumber) || state.isStopped()) {
            return;
        }
        String targetName = target.identity().name();
        for (Member helper : state.randomPeers(state.settings().indirectProbes(), targetName)) {
            state.counters().increment(Name.HELP_ASKED);
            probes.awaitNack(sequenceNumber, helper.identity().name());
            dissemination.send(
                    helper.identity().address(),
                    new Message.PingRequest(dissemination.newEnvelope(), sequenceNumber, targetName));
        }
    }

    private void failProbe(Member target, long sequenceNumber) {
        int missingNacks = probes.missingNacks(sequenceNumber);
        if (!probes.end(sequenceNumber) || state.isStopped()) {
            return;
        }
        state.counters().increment(Name.PROBES_FAILED);
        // If helpers did not even send a nack, it may be this process that receives nothing.
        state.health().degrade(Math.max(1, missingNacks));
        state.table().findPresent(target.identity()).ifPresent(this::suspect);
    }

    private void suspect(Member member) {
        updates.apply(member.withState(
                MemberState.SUSPECT, member.incarnation(), state.self().name()));
    }

    /** Responds to a ping, unless it is meant for another process that had this address before. */
    void onPing(InetSocketAddress from, Message.Ping ping) {
        if (!ping.target().equals(state.self().name())) {
            return;
        }
        Message.Envelope sender = ping.envelope();
        Optional<Member> firstUpdate =
                believesSelfGone(sender) ? state.table().find(state.self().name()) : refutableEntryOf(sender);
        dissemination.send(from, new Message.Ack(dissemination.newEnvelope(firstUpdate), ping.sequenceNumber()));
    }

    /** Returns whether the sender has this process as suspect, failed or left. */
    private boolean believesSelfGone(Message.Envelope sender) {
        return sender.updates().stream()
                .anyMatch(member ->
                        member.state() != MemberState.ALIVE && member.identity().isSameProcess(state.self()));
    }

    /**
     * Returns the entry that has the sender as not alive, if there is one: since it pings, it may not know that it has
     * to refute this.
     */
    private Optional<Member> refutableEntryOf(Message.Envelope sender) {
        return state.table()
                .find(sender.senderName())
                .filter(known -> known.state() != MemberState.ALIVE)
                .filter(known -> known.identity().generation() >= sender.senderGeneration());
    }

    /** Probes a member on behalf of another process, and forwards its ack, or sends a nack if there is none in time. */
    void onPingRequest(InetSocketAddress requester, Message.PingRequest request) {
        Optional<Member> target = state.table().find(request.target());
        if (target.isEmpty() || probes.size() >= MAX_OUTSTANDING_PROBES) {
            state.counters().increment(Name.DROPPED_BUSY);
            return;
        }
        long sequenceNumber = state.nextSequenceNumber();
        probes.begin(
                sequenceNumber,
                () -> dissemination.send(
                        requester, new Message.Ack(dissemination.newEnvelope(), request.sequenceNumber())));
        ping(target.get(), sequenceNumber);
        long nackDelayUs = Math.round(state.settings().probeTimeoutUs() * NACK_DELAY_SHARE);
        state.scheduler().after(nackDelayUs, () -> {
            if (probes.isOutstanding(sequenceNumber)) {
                dissemination.send(requester, new Message.Nack(dissemination.newEnvelope(), request.sequenceNumber()));
            }
        });
        state.scheduler().after(state.settings().periodUs(), () -> probes.end(sequenceNumber));
    }

    void onAck(Message.Ack ack) {
        probes.onAck(ack.sequenceNumber());
    }

    void onNack(Message.Nack nack) {
        probes.onNack(nack.sequenceNumber(), nack.envelope().senderName());
    }
}
