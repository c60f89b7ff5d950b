package tansypass.cluster.membership;

import java.net.InetSocketAddress;
import java.util.Optional;
import tansypass.cluster.membership.Message.Envelope;

/**
 * Disseminates updates: they are piggybacked on every datagram (SWIM, section 4.1), and while any are pending, gossip
 * rounds send them to a few random peers as well. All datagrams of the protocol are sent through it.
 */
final class Dissemination {
    /** Bytes of a datagram that are reserved for everything but its updates. */
    private static final int HEADER_BYTES = 300;
    /** Number of peers that a leaving process notifies itself; the others learn of it from them. */
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

    /** Starts the gossip rounds. */
    void start() {
        state.scheduler().after(state.jittered(state.settings().gossipIntervalUs()), this::runGossipRound);
    }

    /** Queues an update, in place of an earlier one about the same member. */
    void broadcast(Member update) {
        broadcasts.add(update);
    }

    /** Returns the number of updates that are still to be sent. */
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

    /** Creates an envelope with the updates that fit. */
    Envelope newEnvelope() {
        return newEnvelope(Optional.empty());
    }

    /** Creates an envelope with the updates that fit, {@code firstUpdate} before all others. */
    Envelope newEnvelope(Optional<Member> firstUpdate) {
        return new Envelope(
                state.self().deployment(),
                MessageCodec.VERSION,
                state.self().name(),
                state.self().generation(),
                state.table().digest(),
                broadcasts.take(
                        MessageCodec.MAX_DATAGRAM_BYTES - HEADER_BYTES,
                        firstUpdate,
                        state.table().size()));
    }

    /** Sends a datagram, which may get lost; does nothing once this process has stopped. */
    void send(InetSocketAddress to, Message message) {
        if (!state.isStopped()) {
            network.send(to, codec.encode(message));
        }
    }
}
