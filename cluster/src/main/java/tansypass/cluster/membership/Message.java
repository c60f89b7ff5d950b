package tansypass.cluster.membership;

import java.util.List;

/** A datagram between two processes, with piggybacked updates. The names of the records are on the wire. */
public sealed interface Message {

    /** Returns the sender and the piggybacked updates. */
    Envelope envelope();

    /**
     * What all messages have.
     *
     * @param deployment the sender's; messages of other deployments are dropped
     * @param protocolVersion of the protocol
     * @param senderName the sender's name
     * @param senderGeneration the sender's generation
     * @param digest of the sender's view; empty if the message has none
     * @param updates the piggybacked entries
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
     * Asks for an {@link Ack}.
     *
     * @param sequenceNumber comes back with the ack
     * @param target the name of the process that is meant, whichever process has the address now
     */
    record Ping(Envelope envelope, long sequenceNumber, String target) implements Message {}

    /**
     * Asks to ping another process: an indirect probe (SWIM, section 3.1).
     *
     * @param sequenceNumber comes back with the ack or the nack
     * @param target the name of the process to ping
     */
    record PingRequest(Envelope envelope, long sequenceNumber, String target) implements Message {}

    /** Responds to the ping or request of this number: its target is alive. */
    record Ack(Envelope envelope, long sequenceNumber) implements Message {}

    /** Carries updates only; never sent without any. */
    record Gossip(Envelope envelope) implements Message {}

    /** Responds to the request of this number: this process is alive, but received no ack (Lifeguard, section IV A). */
    record Nack(Envelope envelope, long sequenceNumber) implements Message {}
}
