package tansypass.cluster.membership;

import java.net.InetSocketAddress;
import java.util.Optional;
import tansypass.cluster.membership.Message.Envelope;

/**
 * Disseminates updates by piggybacking them on every datagram (SWIM, section 4.1). While updates are pending, gossip
 * rounds also send them to a few random peers. All datagrams of the protocol are sent through this class.
 */
final class Dissemination {
    /** The number of bytes in a datagram that are reserved for all fields other than the updates. */
    private static final int RESERVED_HEADER_BYTES = 300;
    /** The number of peers that a leaving process notifies; the other members learn of it from these peers. */
    private static final int LEAVE_FANOUT = 8;

    private final ProtocolState state;
    private final Network network;
    private final MessageCodec codec;
    private final BroadcastQueue broadcasts;

    Dissemination(ProtocolState state, Network network, MessageCodec codec) {
        this.state = state;
        this.network = network;
        this.codec = codec;
        broadcasts = new BroadcastQueue(state.settings().retransmitMultiplier(), codec::encodedSize);
    }

    /** Starts the periodic gossip rounds. */
    void start() {
        state.scheduler().after(state.randomDelayUs(state.settings().gossipIntervalUs()), this::runGossipRound);
    }

    /** Queues an update, which replaces an earlier update about the same member. */
    void broadcast(Member update) {
        broadcasts.add(update);
    }

    /** Returns the number of updates that are still to be disseminated. */
    int pendingUpdates() {
        return broadcasts.size();
    }

    private void runGossipRound() {
        if (state.isStopped()) {
            return;
        }
        state.scheduler().after(state.settings().gossipIntervalUs(), this::runGossipRound);
        if (!state.isSuperseded()) {
            gossipNow();
        }
    }

    /** Sends pending updates to some random peers at once. */
    void gossipNow() {
        if (broadcasts.size() == 0) {
            return;
        }
        for (Member peer : state.randomPeers(state.settings().gossipFanout(), "")) {
            Envelope envelope = newEnvelope();
            if (!envelope.updates().isEmpty()) {
                send(peer.identity().address(), new Message.Gossip(envelope));
            }
        }
    }

    /** Notifies some random peers that this process leaves. */
    void sendLeave(Member left) {
        for (Member peer : state.randomPeers(LEAVE_FANOUT, "")) {
            send(peer.identity().address(), new Message.Gossip(newEnvelope(Optional.of(left))));
        }
    }

    /** Creates an envelope with as many pending updates as fit into a datagram. */
    Envelope newEnvelope() {
        return newEnvelope(Optional.empty());
    }

    /** Creates an envelope with {@code firstUpdate}, if there is one, and as many pending updates as then fit. */
    Envelope newEnvelope(Optional<Member> firstUpdate) {
        return new Envelope(
                state.self().deployment(),
                MessageCodec.VERSION,
                state.self().name(),
                state.self().generation(),
                state.table().digest(),
                broadcasts.takeForDatagram(
                        MessageCodec.MAX_DATAGRAM_BYTES - RESERVED_HEADER_BYTES,
                        firstUpdate,
                        state.table().size()));
    }

    /** Sends a datagram, which may get lost; does nothing after this process has stopped. */
    void send(InetSocketAddress to, Message message) {
        if (!state.isStopped()) {
            network.send(to, codec.encode(message));
        }
    }
}
