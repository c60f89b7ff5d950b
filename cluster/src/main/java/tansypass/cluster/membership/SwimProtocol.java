package tansypass.cluster.membership;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import tansypass.cluster.membership.MembershipCounters.Name;
import tansypass.cluster.membership.Message.Envelope;
import tansypass.cluster.runtime.Scheduler;

/**
 * The membership protocol of one process: SWIM (Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style
 * Process Group Membership Protocol", 2002) with Lifeguard (Dadgar, Phillips, Currey, "Lifeguard: Local Health
 * Awareness for More Accurate Failure Detection", 2017).
 *
 * <p>It owns the state and routes messages to the parts ({@link FailureDetector}, {@link Dissemination},
 * {@link AntiEntropy}, {@link JoinProtocol}, {@link IncarnationGuard}, {@link MemberTableUpdater}). Single-threaded:
 * all calls come from the thread of its {@link Scheduler}. It never blocks, and its memory is bounded whatever peers
 * send.
 */
public final class SwimProtocol implements Membership {
    private final ProtocolState state;
    private final MessageCodec codec = new MessageCodec();
    private final PeerFilter filter;
    private final Dissemination dissemination;
    private final FailureDetector detector;
    private final AntiEntropy antiEntropy;
    private final JoinProtocol joining;
    private final IncarnationGuard incarnations;
    private final MemberTableUpdater tableUpdater;

    /** Forwards updates to the {@link MemberTableUpdater}, which is created after the parts that produce them. */
    private final class ForwardedUpdates implements MemberUpdates {
        @Override
        public void apply(Member update) {
            tableUpdater.apply(update);
        }

        @Override
        public void adopt(Member member) {
            tableUpdater.adopt(member);
        }
    }

    /** Creates a process that knows only itself and has not started. */
    public SwimProtocol(MembershipEnvironment environment) {
        Network network = environment.network();
        List<InetSocketAddress> seeds = environment.seeds();
        state = new ProtocolState(environment);
        filter = new PeerFilter(state);
        ProbeOrder probeOrder = new ProbeOrder(environment.random());
        OutstandingProbes probes = new OutstandingProbes();
        MemberUpdates updates = new ForwardedUpdates();
        dissemination = new Dissemination(state, network, codec);
        detector = new FailureDetector(state, dissemination, probes, probeOrder, updates);
        SuspicionTracker suspicions = new SuspicionTracker(state, detector, updates);
        antiEntropy = new AntiEntropy(state, network, codec, filter, seeds, updates);
        joining = new JoinProtocol(state, antiEntropy, seeds);
        incarnations = new IncarnationGuard(state, dissemination, probes, updates);
        tableUpdater = new MemberTableUpdater(
                state, dissemination, probeOrder, suspicions, incarnations, environment.listener());
    }

    /** Begins to join, probe, gossip and sync. */
    @Override
    public void start() {
        antiEntropy.markStarted();
        incarnations.announce();
        joining.start();
        detector.start();
        dissemination.start();
        antiEntropy.start();
    }

    /** Announces to some peers that this process leaves, and stops. */
    @Override
    public void leave() {
        if (state.isStopped()) {
            return;
        }
        Member left = state.selfAsLeft();
        tableUpdater.adopt(left);
        dissemination.sendLeave(left);
        state.setStopped();
    }

    /** Stops without notice: to peers this process then looks failed. */
    @Override
    public void stop() {
        state.setStopped();
    }

    /**
     * Sets whether this process serves clients or is draining; peers learn of a change at once, under a new
     * incarnation.
     */
    public void setServing(boolean serving) {
        incarnations.setServing(serving);
    }

    @Override
    public MembershipView view() {
        MemberTable table = state.table();
        return new MembershipView(
                table.version(),
                table.digest(),
                state.scheduler().nowUs(),
                state.isJoined(),
                antiEntropy.lastAgreedUs(),
                List.copyOf(table.all()),
                table.changedAtUs());
    }

    @Override
    public MembershipCounters counters() {
        return state.counters();
    }

    /** Returns this process's present identity; its generation may have grown since the start. */
    @Override
    public Identity self() {
        return state.self();
    }

    /** Returns whether a live process of the same name and a later generation keeps this one out of the cluster. */
    public boolean isSuperseded() {
        return state.isSuperseded();
    }

    /** Returns the number of updates that are still to be disseminated. */
    public int pendingUpdates() {
        return dissemination.pendingUpdates();
    }

    /** Returns the factor by which this process's timeouts are extended (Lifeguard); 1 if it is healthy. */
    public int healthMultiplier() {
        return state.health().multiplier();
    }

    /** Drops, and counts, what is malformed or of another deployment or version. */
    @Override
    public void onDatagram(InetSocketAddress from, byte[] datagram) {
        if (state.isStopped()) {
            return;
        }
        Message message;
        try {
            message = codec.decode(datagram);
        } catch (MalformedMessageException e) {
            state.counters().increment(Name.DROPPED_MALFORMED);
            return;
        }
        Envelope envelope = message.envelope();
        // A superseded process handles acks only, by which it learns whether its namesake still responds.
        boolean isIgnored = state.isSuperseded() && !(message instanceof Message.Ack);
        if (!filter.accepts(envelope) || isIgnored) {
            return;
        }
        envelope.updates().forEach(tableUpdater::apply);
        route(from, message);
        joining.learnOfSender(from, envelope);
        antiEntropy.compareDigest(envelope);
    }

    private void route(InetSocketAddress from, Message message) {
        if (message instanceof Message.Ping ping) {
            detector.onPing(from, ping);
        } else if (message instanceof Message.PingRequest request) {
            detector.onPingRequest(from, request);
        } else if (message instanceof Message.Ack ack) {
            detector.onAck(ack);
        } else if (message instanceof Message.Nack nack) {
            detector.onNack(nack);
        }
    }

    @Override
    public Optional<byte[]> onPushPull(byte[] view) {
        return antiEntropy.onPushPull(view);
    }
}
