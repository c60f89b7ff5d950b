package tansypass.cluster.membership;

import java.net.InetSocketAddress;
import java.util.Optional;
import tansypass.cluster.membership.MembershipCounters.Name;

/**
 * Probes one member after the other, first directly and then indirectly through helpers (SWIM, section 3.1), and
 * suspects a member from which no ack was received. Timeouts are extended while the local health of this process is
 * poor (Lifeguard, section IV A). This class also handles the pings and ping requests of other members.
 */
final class FailureDetector {
    /** The maximum number of outstanding probes. Further ping requests are dropped and do not even get a nack. */
    private static final int MAX_OUTSTANDING_PROBES = 64;
    /** The fraction of the probe timeout after which a helper sends a nack (Lifeguard, section IV A). */
    private static final double NACK_DELAY_FRACTION = 0.8;
    /**
     * The number of probe timeouts after which a probe has failed. By that time the timeouts of the helpers are over
     * and their nacks have arrived.
     */
    private static final double TIMEOUTS_UNTIL_FAILED = 2.2;

    private final ProtocolState state;
    private final Dissemination dissemination;
    private final OutstandingProbes probes;
    private final ProbeOrder probeOrder;
    private final MemberUpdates updates;

    FailureDetector(
            ProtocolState state,
            Dissemination dissemination,
            OutstandingProbes probes,
            ProbeOrder probeOrder,
            MemberUpdates updates) {
        this.state = state;
        this.dissemination = dissemination;
        this.probes = probes;
        this.probeOrder = probeOrder;
        this.updates = updates;
    }

    /** Starts to probe members periodically. */
    void start() {
        state.scheduler().after(state.randomDelayUs(state.settings().periodUs()), this::probeNext);
    }

    private void probeNext() {
        if (state.isStopped()) {
            return;
        }
        int peerCount = state.table().present().size() - 1;
        int probesPerPeriod = Math.max(1, Math.min(state.settings().probesPerPeriod(), peerCount));
        long intervalUs = scaledByHealth(state.settings().periodUs()) / probesPerPeriod;
        state.scheduler().after(intervalUs, this::probeNext);
        if (state.isSuperseded()) {
            return;
        }
        probeOrder
                .next(state::presentPeerNames, state::isPresentPeer)
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

    /**
     * Pings a member. The ack has an effect only if a probe with this sequence number is outstanding.
     */
    void ping(Member target, long sequenceNumber) {
        // A ping to a suspect always carries the suspicion, so that the suspect can refute the suspicion
        // (Lifeguard, section IV C).
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
        // If the helpers sent no nacks either, the cause may be that this process receives no datagrams.
        state.health().degrade(Math.max(1, missingNacks));
        state.table().findPresent(target.identity()).ifPresent(this::suspect);
    }

    private void suspect(Member member) {
        updates.apply(member.withState(
                MemberState.SUSPECT, member.incarnation(), state.self().name()));
    }

    /** Responds to a ping, unless its target is another process, which had this address before. */
    void onPing(InetSocketAddress from, Message.Ping ping) {
        if (!ping.target().equals(state.self().name())) {
            return;
        }
        Message.Envelope sender = ping.envelope();
        Optional<Member> firstUpdate =
                reportsSelfNotAlive(sender) ? state.table().find(state.self().name()) : findNotAliveEntry(sender);
        dissemination.send(from, new Message.Ack(dissemination.newEnvelope(firstUpdate), ping.sequenceNumber()));
    }

    /** Returns whether the updates of the sender list this process as suspect, failed or left. */
    private boolean reportsSelfNotAlive(Message.Envelope sender) {
        return sender.updates().stream()
                .anyMatch(member ->
                        member.state() != MemberState.ALIVE && member.identity().isSameProcess(state.self()));
    }

    /**
     * Returns the entry of the sender if its state is not alive. The sender is running, because it sent a ping, but may
     * not know that it has to refute this state.
     */
    private Optional<Member> findNotAliveEntry(Message.Envelope sender) {
        return state.table()
                .find(sender.senderName())
                .filter(entry -> entry.state() != MemberState.ALIVE)
                .filter(entry -> entry.identity().generation() >= sender.senderGeneration());
    }

    /** Probes a member for another process, and sends that process an ack, or a nack if the member does not respond. */
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
        long nackDelayUs = Math.round(state.settings().probeTimeoutUs() * NACK_DELAY_FRACTION);
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
