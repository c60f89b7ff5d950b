package tansypass.cluster.membership;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import tansypass.cluster.membership.Message.Envelope;

/**
 * Joins the cluster by push-pull syncs with its seeds, which are repeated with exponential backoff until one succeeds.
 * Also syncs with each unknown process from which a message arrives.
 */
final class JoinProtocol {
    private static final long MIN_BACKOFF_US = 1_000_000;
    private static final long MAX_BACKOFF_US = 30_000_000;
    private static final int MAX_BACKOFF_DOUBLINGS = 10;
    /** While this many syncs are in flight, a message from an unknown sender does not start another. */
    private static final int MAX_SYNCS_IN_FLIGHT = 4;

    private final ProtocolState state;
    private final AntiEntropy antiEntropy;
    private final List<InetSocketAddress> seeds;
    private int joinAttempts;

    JoinProtocol(ProtocolState state, AntiEntropy antiEntropy, List<InetSocketAddress> seeds) {
        this.state = state;
        this.antiEntropy = antiEntropy;
        this.seeds = List.copyOf(seeds);
    }

    /** Starts to join the cluster. A process without seeds counts as joined at once. */
    void start() {
        state.setJoined(seeds.isEmpty());
        attemptJoin();
    }

    private void attemptJoin() {
        if (state.isStopped() || state.isJoined()) {
            return;
        }
        antiEntropy.syncWith(state.randomElement(seeds));
        long backoffUs = Math.min(MAX_BACKOFF_US, MIN_BACKOFF_US << Math.min(joinAttempts++, MAX_BACKOFF_DOUBLINGS));
        // Only half of the backoff is random: no retry is immediate, and many processes do not retry at the same time.
        state.scheduler().after(backoffUs / 2 + state.randomDelayUs(backoffUs / 2), this::attemptJoin);
    }

    /** Starts a sync with a sender that is not in the member table, or is there with an earlier generation. */
    void syncIfSenderUnknown(InetSocketAddress from, Envelope sender) {
        Optional<Identity> knownIdentity =
                state.table().find(sender.senderName()).map(Member::identity);
        boolean isUnknown = knownIdentity.isEmpty() || knownIdentity.get().generation() < sender.senderGeneration();
        boolean isSelf = sender.senderName().equals(state.self().name());
        if (isUnknown && !isSelf && antiEntropy.syncsInFlight() < MAX_SYNCS_IN_FLIGHT) {
            antiEntropy.syncWith(knownIdentity.map(Identity::address).orElse(from));
        }
    }
}
