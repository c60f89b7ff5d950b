package tansypass.cluster.membership;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import tansypass.cluster.membership.Message.Envelope;

/**
 * Joins the cluster through its seeds, with exponential backoff until a push-pull sync succeeds, and learns of unknown
 * members from the messages that they send.
 */
final class JoinProtocol {
    private static final long MIN_BACKOFF_US = 1_000_000;
    private static final long MAX_BACKOFF_US = 30_000_000;
    private static final int MAX_BACKOFF_DOUBLINGS = 10;
    /** Open syncs from which on unknown senders do not start further ones. */
    private static final int MAX_OPEN_SYNCS = 4;

    private final ProtocolState state;
    private final AntiEntropy antiEntropy;
    private final List<InetSocketAddress> seeds;
    private int attempts;

    JoinProtocol(ProtocolState state, AntiEntropy antiEntropy, List<InetSocketAddress> seeds) {
        this.state = state;
        this.antiEntropy = antiEntropy;
        this.seeds = List.copyOf(seeds);
    }

    /** Starts to join; without a seed this process is joined at once. */
    void start() {
        state.setJoined(seeds.isEmpty());
        attempt();
    }

    private void attempt() {
        if (state.isStopped() || state.isJoined()) {
            return;
        }
        antiEntropy.syncWith(state.randomElement(seeds));
        long backoffUs = Math.min(MAX_BACKOFF_US, MIN_BACKOFF_US << Math.min(attempts++, MAX_BACKOFF_DOUBLINGS));
        // Only half of it is jittered, so that no retry is immediate and many processes don't retry together.
        state.scheduler().after(backoffUs / 2 + state.jittered(backoffUs / 2), this::attempt);
    }

    /** Syncs with a sender that is not in the table, or is there only in an earlier generation. */
    void learnOfSender(InetSocketAddress from, Envelope sender) {
        Optional<Identity> known = state.table().find(sender.senderName()).map(Member::identity);
        boolean isUnknown = known.isEmpty() || known.get().generation() < sender.senderGeneration();
        boolean isSelf = sender.senderName().equals(state.self().name());
        if (isUnknown && !isSelf && antiEntropy.openSyncs() < MAX_OPEN_SYNCS) {
            antiEntropy.syncWith(known.map(Identity::address).orElse(from));
        }
    }
}
