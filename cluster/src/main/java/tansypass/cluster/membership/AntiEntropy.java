package tansypass.cluster.membership;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import tansypass.cluster.membership.MembershipCounters.Name;
import tansypass.cluster.membership.Message.Envelope;

/**
 * Repairs differences that remain between views despite dissemination, by push-pull syncs, in which two processes
 * exchange their complete views. A process syncs periodically with a random peer, and with a peer whose digest differs.
 * It also syncs with failed members and with seeds, by which it detects that a partition has healed.
 */
final class AntiEntropy {
    /** The number of changes from one sync that datagrams can disseminate; a sync with more is followed by another. */
    private static final int MAX_CHANGES_FOR_GOSSIP = 10;
    /**
     * The number of periods without a change after which a view counts as settled. If a settled view differs from that
     * of a peer, one of the two has missed an update.
     */
    private static final int SETTLED_PERIODS = 2;

    private final ProtocolState state;
    private final Network network;
    private final MessageCodec codec;
    private final PeerFilter peerFilter;
    private final List<InetSocketAddress> seeds;
    private final MemberUpdates updates;
    private int syncsInFlight;
    private boolean isFollowUpScheduled;
    private long nextDigestSyncUs;
    private long lastAgreedUs;

    AntiEntropy(
            ProtocolState state,
            Network network,
            MessageCodec codec,
            PeerFilter peerFilter,
            List<InetSocketAddress> seeds,
            MemberUpdates updates) {
        this.state = state;
        this.network = network;
        this.codec = codec;
        this.peerFilter = peerFilter;
        this.seeds = List.copyOf(seeds);
        this.updates = updates;
    }

    /** Records the start as the time of the last agreement, until a peer first sends an equal digest. */
    void markStarted() {
        lastAgreedUs = state.scheduler().nowUs();
    }

    /** Starts the periodic syncs with random peers, and with failed members and seeds. */
    void start() {
        state.scheduler().after(state.randomDelayUs(state.settings().pushPullIntervalUs()), this::syncPeriodically);
        state.scheduler()
                .after(state.randomDelayUs(state.settings().reconnectIntervalUs()), this::reconnectPeriodically);
    }

    /** Returns the last time at which the digest of a peer was equal to that of this view, in microseconds. */
    long lastAgreedUs() {
        return lastAgreedUs;
    }

    /** Returns the number of syncs that this process started and that have no result yet. */
    int syncsInFlight() {
        return syncsInFlight;
    }

    private void syncPeriodically() {
        if (state.isStopped()) {
            return;
        }
        state.scheduler().after(state.settings().pushPullIntervalUs(), this::syncPeriodically);
        syncWithRandomPeer();
    }

    private void syncWithRandomPeer() {
        if (!state.isStopped() && !state.isSuperseded()) {
            state.randomPeers(1, "").forEach(peer -> syncWith(peer.identity().address()));
        }
    }

    /**
     * Syncs with a random failed member or seed. A failed member may only have been unreachable, and the seeds may be
     * on the other side of a partition.
     */
    private void reconnectPeriodically() {
        if (state.isStopped()) {
            return;
        }
        state.scheduler().after(state.settings().reconnectIntervalUs(), this::reconnectPeriodically);
        List<InetSocketAddress> unreached = findUnreachedAddresses();
        if (!unreached.isEmpty() && !state.isSuperseded()) {
            syncWith(state.randomElement(unreached));
        }
    }

    /** Returns the addresses of failed members, and the addresses of seeds at which no member is present. */
    private List<InetSocketAddress> findUnreachedAddresses() {
        List<InetSocketAddress> unreached = new ArrayList<>();
        Set<InetSocketAddress> present = new LinkedHashSet<>();
        for (Member member : state.table().all()) {
            if (member.state() == MemberState.FAILED) {
                unreached.add(member.identity().address());
            } else if (member.isPresent()) {
                present.add(member.identity().address());
            }
        }
        seeds.stream().filter(seed -> !present.contains(seed)).forEach(unreached::add);
        return unreached;
    }

    /** Starts a push-pull sync with a peer. */
    void syncWith(InetSocketAddress peer) {
        state.counters().increment(Name.EXCHANGES);
        syncsInFlight++;
        network.pushPull(peer, encodeView(), this::onPullResult);
    }

    private void onPullResult(Optional<byte[]> view) {
        syncsInFlight--;
        if (state.isStopped()) {
            return;
        }
        if (view.isPresent() && mergeView(view.get())) {
            state.setJoined(true);
        } else {
            state.counters().increment(Name.EXCHANGES_FAILED);
        }
    }

    /** Merges the view of a peer and returns the view of this process; empty if the view of the peer is rejected. */
    Optional<byte[]> onPushPull(byte[] view) {
        if (state.isStopped() || state.isSuperseded() || !mergeView(view)) {
            return Optional.empty();
        }
        return Optional.of(encodeView());
    }

    private byte[] encodeView() {
        return codec.encodeView(new Envelope(
                state.self().deployment(),
                MessageCodec.VERSION,
                state.self().name(),
                state.self().generation(),
                List.copyOf(state.table().all())));
    }

    private boolean mergeView(byte[] view) {
        Envelope envelope;
        try {
            envelope = codec.decodeView(view, state.settings().maxMembers());
        } catch (MalformedMessageException e) {
            state.counters().increment(Name.DROPPED_MALFORMED);
            return false;
        }
        if (!peerFilter.accepts(envelope)) {
            return false;
        }
        long versionBefore = state.table().version();
        for (Member update : envelope.updates()) {
            updates.apply(
                    isFailureOfPresentMember(update, envelope.senderName())
                            ? update.withState(MemberState.SUSPECT, update.incarnation(), envelope.senderName())
                            : update);
        }
        if (state.table().version() - versionBefore > MAX_CHANGES_FOR_GOSSIP) {
            scheduleFollowUp();
        }
        return true;
    }

    /**
     * Returns whether a member that has failed in the view of a peer is present in the view of this process. Such a
     * member is only suspected, which leaves it time to refute the suspicion.
     */
    private boolean isFailureOfPresentMember(Member update, String peerName) {
        Identity identity = update.identity();
        if (update.state() != MemberState.FAILED || identity.name().equals(peerName)) {
            return false;
        }
        return state.table().findPresent(identity).isPresent();
    }

    /**
     * Schedules a further sync with a random peer. After a partition has healed, such syncs spread complete views in
     * the way that gossip spreads updates: each step doubles the number of processes that have them.
     */
    private void scheduleFollowUp() {
        if (isFollowUpScheduled) {
            return;
        }
        isFollowUpScheduled = true;
        long delayUs = state.randomDelayUs(2 * state.settings().gossipIntervalUs());
        state.scheduler().after(delayUs, () -> {
            isFollowUpScheduled = false;
            syncWithRandomPeer();
        });
    }

    /**
     * Compares the digest of a sender with that of this view. If they differ although this view is settled, one of the
     * two processes missed an update, and this process starts a sync.
     */
    void compareDigest(Envelope sender) {
        String digest = state.table().digest();
        if (sender.digest().equals(digest)) {
            lastAgreedUs = state.scheduler().nowUs();
        } else if (!sender.digest().isEmpty()) {
            state.table().find(sender.senderName()).filter(Member::isPresent).ifPresent(this::syncIfSettled);
        }
    }

    private void syncIfSettled(Member sender) {
        long nowUs = state.scheduler().nowUs();
        long settleTimeUs = SETTLED_PERIODS * state.settings().periodUs();
        boolean isSettled = nowUs - state.table().lastPutUs() > settleTimeUs;
        boolean canSync = nowUs >= nextDigestSyncUs && syncsInFlight == 0;
        if (isSettled && canSync) {
            nextDigestSyncUs = nowUs + settleTimeUs + state.randomDelayUs(settleTimeUs);
            state.counters().increment(Name.VIEWS_COMPARED);
            syncWith(sender.identity().address());
        }
    }
}
