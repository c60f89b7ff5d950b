package tansypass.cluster.membership;

import java.util.List;

/** A datagram between two processes, with piggybacked updates. The names of the records are part of the wire format. */
public sealed interface Message {

    /** Returns the part that all messages have: the sender and the piggybacked updates. */
    Envelope envelope();

    /**
     * The part that all messages have. In a push-pull sync, an envelope carries a complete view.
     *
     * @param deployment the deployment of the sender; messages of other deployments are dropped
     * @param protocolVersion the version of the protocol in which the message is encoded
     * @param senderName the name of the sender
     * @param senderGeneration the generation of the sender
     * @param digest the digest of the view of the sender; empty if the message has none
     * @param updates the piggybacked updates, or all entries of a complete view
     */
    record Envelope(
            String deployment,
            int protocolVersion,
            String senderName,
            long senderGeneration,
            String digest,
            List<Member> updates) {

        /** Creates an envelope of a complete view, which needs no digest. */
        public Envelope(
                String deployment,
                int protocolVersion,
                String senderName,
                long senderGeneration,
                List<Member> updates) {
            this(deployment, protocolVersion, senderName, senderGeneration, "", updates);
        }
    }

    /**
     * A direct probe, to which the target responds with an {@link Ack}.
     *
     * @param sequenceNumber the number that the ack repeats
     * @param target the name of the process to probe; another process that now has its address does not respond
     */
    record Ping(Envelope envelope, long sequenceNumber, String target) implements Message {}

    /**
     * A request to ping another process: an indirect probe (SWIM, section 3.1).
     *
     * @param sequenceNumber the number that the ack or nack repeats
     * @param target the name of the process to ping
     */
    record PingRequest(Envelope envelope, long sequenceNumber, String target) implements Message {}

    /** The response to the ping or ping request of this sequence number: the target is alive. */
    record Ack(Envelope envelope, long sequenceNumber) implements Message {}

    /** A message that carries only updates, and at least one. */
    record Gossip(Envelope envelope) implements Message {}

    /**
     * The response to the ping request of this sequence number: the helper is alive, but received no ack from the
     * target (Lifeguard, section IV A).
     */
    record Nack(Envelope envelope, long sequenceNumber) implements Message {}
}
