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
 * Repairs what dissemination misses, by push-pull syncs in which two processes exchange their complete views:
 * periodically with a random peer, with one whose digest differs, and with failed members and seeds, which is how a
 * healed partition is detected.
 */
final class AntiEntropy {
    /** A sync that changes more entries is followed by another: datagrams could not disseminate them all. */
    private static final int MAX_CHANGES_FOR_GOSSIP = 10;
    /** A view that has not changed for so many periods and differs from a peer's has missed an update. */
    private static final int SETTLED_PERIODS = 2;

    private final ProtocolState state;
    private final Network network;
    private final MessageCodec codec;
    private final PeerFilter filter;
    private final List<InetSocketAddress> seeds;
    private final MemberUpdates updates;
    private int openSyncs;
    private boolean isFollowUpScheduled;
    private long nextDigestSyncUs;
    private long lastAgreedUs;

    AntiEntropy(
            ProtocolState state,
            Network network,
            MessageCodec codec,
            PeerFilter filter,
            List<InetSocketAddress> seeds,
            MemberUpdates updates) {
        this.state = state;
        this.network = network;
        this.codec = codec;
        this.filter = filter;
        this.seeds = List.copyOf(seeds);
        this.updates = updates;
    }

    /** Sets the time of the last agreement to the start, until a peer's digest is first equal. */
    void markStarted() {
        lastAgreedUs = state.scheduler().nowUs();
    }

    /** Starts the periodic syncs. */
    void start() {
        state.scheduler().after(state.jittered(state.settings().pushPullIntervalUs()), this::syncPeriodically);
        state.scheduler().after(state.jittered(state.settings().reconnectIntervalUs()), this::reconnectPeriodically);
    }

    /** Returns when a peer's digest was last equal to that of this view; microseconds of the scheduler's clock. */
    long lastAgreedUs() {
        return lastAgreedUs;
    }

    /** Returns the number of syncs that this process started and that have no result yet. */
    int openSyncs() {
        return openSyncs;
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

    /** A failed member may only have been unreachable, and the seeds may be on the other side of a partition. */
    private void reconnectPeriodically() {
        if (state.isStopped()) {
            return;
        }
        state.scheduler().after(state.settings().reconnectIntervalUs(), this::reconnectPeriodically);
        List<InetSocketAddress> unreached = unreachedAddresses();
        if (!unreached.isEmpty() && !state.isSuperseded()) {
            syncWith(state.randomElement(unreached));
        }
    }

    /** Returns the addresses of failed members, and the seeds at which no member is present. */
    private List<InetSocketAddress> unreachedAddresses() {
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

    /** Starts a push-pull sync. */
    void syncWith(InetSocketAddress peer) {
        state.counters().increment(Name.EXCHANGES);
        openSyncs++;
        network.pushPull(peer, encodedView(), this::onPullResult);
    }

    private void onPullResult(Optional<byte[]> view) {
        openSyncs--;
        if (state.isStopped()) {
            return;
        }
        if (view.isPresent() && mergeView(view.get())) {
            state.setJoined(true);
        } else {
            state.counters().increment(Name.EXCHANGES_FAILED);
        }
    }

    /** Merges a peer's view and returns this process's own; empty if the peer's is rejected. */
    Optional<byte[]> onPushPull(byte[] view) {
        if (state.isStopped() || state.isSuperseded() || !mergeView(view)) {
            return Optional.empty();
        }
        return Optional.of(encodedView());
    }

    private byte[] encodedView() {
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
        if (!filter.accepts(envelope)) {
            return false;
        }
        long versionBefore = state.table().version();
        for (Member update : envelope.updates()) {
            updates.apply(
                    mayRefute(update, envelope.senderName())
                            ? update.withState(MemberState.SUSPECT, update.incarnation(), envelope.senderName())
                            : update);
        }
        if (state.table().version() - versionBefore > MAX_CHANGES_FOR_GOSSIP) {
            scheduleFollowUp();
        }
        return true;
    }

    /**
     * Returns whether a member that a peer has as failed is present here. It is only suspected then, which leaves it
     * time to refute.
     */
    private boolean mayRefute(Member update, String peer) {
        Identity identity = update.identity();
        if (update.state() != MemberState.FAILED || identity.name().equals(peer)) {
            return false;
        }
        return state.table().findPresent(identity).isPresent();
    }

    /**
     * After a partition complete views spread as updates do: each step doubles the number of processes that have
     * them.
     */
    private void scheduleFollowUp() {
        if (isFollowUpScheduled) {
            return;
        }
        isFollowUpScheduled = true;
        long delayUs = state.jittered(2 * state.settings().gossipIntervalUs());
        state.scheduler().after(delayUs, () -> {
            isFollowUpScheduled = false;
            syncWithRandomPeer();
        });
    }

    /** Syncs with a sender whose digest still differs although this view is settled: one of them missed an update. */
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
        long settledUs = SETTLED_PERIODS * state.settings().periodUs();
        boolean isSettled = nowUs - state.table().lastPutUs() > settledUs;
        boolean mayStart = nowUs >= nextDigestSyncUs && openSyncs == 0;
        if (isSettled && mayStart) {
            nextDigestSyncUs = nowUs + settledUs + state.jittered(settledUs);
            state.counters().increment(Name.VIEWS_COMPARED);
            syncWith(sender.identity().address());
        }
    }
}
