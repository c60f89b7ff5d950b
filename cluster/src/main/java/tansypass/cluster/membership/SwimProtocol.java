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
 * <p>This class owns the state and routes messages to the parts ({@link FailureDetector}, {@link Dissemination},
 * {@link AntiEntropy}, {@link JoinProtocol}, {@link IncarnationGuard}, {@link MemberTableUpdater}). Single-threaded:
 * all calls come from the thread of the {@link Scheduler}. No call blocks. The memory in use is bounded, regardless of
 * what peers send.
 */
public final class SwimProtocol implements Membership {
    private final ProtocolState state;
    private final MessageCodec codec = new MessageCodec();
    private final PeerFilter peerFilter;
    private final Dissemination dissemination;
    private final FailureDetector failureDetector;
    private final AntiEntropy antiEntropy;
    private final JoinProtocol joinProtocol;
    private final IncarnationGuard incarnationGuard;
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

    /** Creates a protocol that has not started and whose process knows no other member. */
    public SwimProtocol(MembershipEnvironment environment) {
        Network network = environment.network();
        List<InetSocketAddress> seeds = environment.seeds();
        state = new ProtocolState(environment);
        peerFilter = new PeerFilter(state);
        ProbeOrder probeOrder = new ProbeOrder(environment.random());
        OutstandingProbes probes = new OutstandingProbes();
        MemberUpdates updates = new ForwardedUpdates();
        dissemination = new Dissemination(state, network, codec);
        failureDetector = new FailureDetector(state, dissemination, probes, probeOrder, updates);
        SuspicionTracker suspicionTracker = new SuspicionTracker(state, failureDetector, updates);
        antiEntropy = new AntiEntropy(state, network, codec, peerFilter, seeds, updates);
        joinProtocol = new JoinProtocol(state, antiEntropy, seeds);
        incarnationGuard = new IncarnationGuard(state, dissemination, probes, updates);
        tableUpdater = new MemberTableUpdater(
                state, dissemination, probeOrder, suspicionTracker, incarnationGuard, environment.listener());
    }

    /** Starts to join the cluster, to probe members, to gossip and to sync views. */
    @Override
    public void start() {
        antiEntropy.markStarted();
        incarnationGuard.announce();
        joinProtocol.start();
        failureDetector.start();
        dissemination.start();
        antiEntropy.start();
    }

    /** Announces to some random peers that this process leaves, and stops the protocol. */
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

    /** Stops the protocol without notice. Peers then detect this process as failed. */
    @Override
    public void stop() {
        state.setStopped();
    }

    /**
     * Sets whether this process serves clients or is draining. A change is announced to peers at once, under a new
     * incarnation.
     */
    public void setServing(boolean serving) {
        incarnationGuard.setServing(serving);
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

    /** Returns the current identity of this process, whose generation may have increased since the start. */
    @Override
    public Identity self() {
        return state.self();
    }

    /** Returns whether a live process of the same name and a later generation keeps this process out of the cluster. */
    public boolean isSuperseded() {
        return state.isSuperseded();
    }

    /** Returns the number of updates that are still to be disseminated. */
    public int pendingUpdates() {
        return dissemination.pendingUpdates();
    }

    /**
     * Returns the factor by which the timeouts of this process are extended (Lifeguard); 1 if the process is healthy.
     */
    public int healthMultiplier() {
        return state.health().multiplier();
    }

    /** Handles a datagram; drops and counts messages that are malformed or of another deployment or version. */
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
        // A superseded process handles only acks, which show whether the other process of its name still responds.
        boolean isIgnored = state.isSuperseded() && !(message instanceof Message.Ack);
        if (!peerFilter.accepts(envelope) || isIgnored) {
            return;
        }
        envelope.updates().forEach(tableUpdater::apply);
        route(from, message);
        joinProtocol.syncIfSenderUnknown(from, envelope);
        antiEntropy.compareDigest(envelope);
    }

    private void route(InetSocketAddress from, Message message) {
        if (message instanceof Message.Ping ping) {
            failureDetector.onPing(from, ping);
        } else if (message instanceof Message.PingRequest request) {
            failureDetector.onPingRequest(from, request);
        } else if (message instanceof Message.Ack ack) {
            failureDetector.onAck(ack);
        } else if (message instanceof Message.Nack nack) {
            failureDetector.onNack(nack);
        }
    }

    @Override
    public Optional<byte[]> onPushPull(byte[] view) {
        return antiEntropy.onPushPull(view);
    }
}
