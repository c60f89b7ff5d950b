package tansypass.cluster.membership;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Locale;

/**
 * Encodes messages and views in the format of the JSON factory: CBOR or JSON. The keys and values are the wire format.
 */
final class MessageEncoder {
    private static final int MICROS_PER_MILLI = 1_000;

    private final JsonFactory factory;

    MessageEncoder(JsonFactory factory) {
        this.factory = factory;
    }

    /**
     * Writes the fields of one object. It declares IOException because JsonGenerator does; no write to memory throws
     * it.
     */
    private interface FieldWriter {
        void writeFields(JsonGenerator out) throws IOException;
    }

    private byte[] encode(FieldWriter fieldWriter) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(MessageCodec.MAX_DATAGRAM_BYTES);
        try (JsonGenerator out = factory.createGenerator(bytes)) {
            out.writeStartObject();
            fieldWriter.writeFields(out);
            out.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException("encoding a message in memory failed", e);
        }
        return bytes.toByteArray();
    }

    byte[] encodeMessage(Message message) {
        return encode(out -> {
            out.writeStringField(WireKey.KIND, kindOf(message));
            if (message instanceof Message.Ping ping) {
                writeProbe(out, ping.sequenceNumber(), ping.target());
            } else if (message instanceof Message.PingRequest request) {
                writeProbe(out, request.sequenceNumber(), request.target());
            } else if (message instanceof Message.Ack ack) {
                out.writeNumberField(WireKey.NUMBER, ack.sequenceNumber());
            } else if (message instanceof Message.Nack nack) {
                out.writeNumberField(WireKey.NUMBER, nack.sequenceNumber());
            }
            writeEnvelope(out, message.envelope());
        });
    }

    private static String kindOf(Message message) {
        return message.getClass().getSimpleName();
    }

    private static void writeProbe(JsonGenerator out, long sequenceNumber, String target) throws IOException {
        out.writeNumberField(WireKey.NUMBER, sequenceNumber);
        out.writeStringField(WireKey.TARGET, target);
    }

    /** Encodes a single member, in the form that it has in the updates of a message. */
    byte[] encodeMember(Member member) {
        return encode(out -> writeMember(out, member));
    }

    byte[] encodeView(Message.Envelope envelope) {
        return encode(out -> writeEnvelope(out, envelope));
    }

    private static void writeEnvelope(JsonGenerator out, Message.Envelope envelope) throws IOException {
        out.writeStringField(WireKey.DEPLOYMENT, envelope.deployment());
        out.writeNumberField(WireKey.PROTOCOL_VERSION, envelope.protocolVersion());
        out.writeStringField(WireKey.SENDER, envelope.senderName());
        out.writeNumberField(WireKey.SENDER_GENERATION, envelope.senderGeneration());
        if (!envelope.digest().isEmpty()) {
            out.writeStringField(WireKey.DIGEST, envelope.digest());
        }
        out.writeArrayFieldStart(WireKey.UPDATES);
        for (Member member : envelope.updates()) {
            out.writeStartObject();
            writeMember(out, member);
            out.writeEndObject();
        }
        out.writeEndArray();
    }

    private static void writeMember(JsonGenerator out, Member member) throws IOException {
        writeIdentity(out, member.identity());
        out.writeStringField(WireKey.STATE, member.state().name().toLowerCase(Locale.ROOT));
        out.writeNumberField(WireKey.INCARNATION, member.incarnation());
        if (!member.suspectedBy().isEmpty()) {
            out.writeStringField(WireKey.SUSPECTED_BY, member.suspectedBy());
        }
        if (member.isDraining()) {
            out.writeBooleanField(WireKey.DRAINING, true);
        }
    }

    private static void writeIdentity(JsonGenerator out, Identity identity) throws IOException {
        out.writeStringField(WireKey.NAME, identity.name());
        out.writeNumberField(WireKey.GENERATION, identity.generation());
        out.writeNumberField(WireKey.NONCE, identity.nonce());
        out.writeStringField(WireKey.ZONE, identity.zone());
        out.writeStringField(WireKey.ROLE, identity.role().name().toLowerCase(Locale.ROOT));
        String host = identity.address().getAddress().getHostAddress();
        out.writeStringField(WireKey.ADDRESS, host + ":" + identity.address().getPort());
        out.writeNumberField(WireKey.OLDEST_VERSION, identity.oldestVersion());
        out.writeNumberField(WireKey.NEWEST_VERSION, identity.newestVersion());
    }

    /** Encodes the view page. Scripts of operators read its keys and values. */
    byte[] encodeViewPage(Identity self, MembershipView view, boolean superseded, int healthMultiplier) {
        return encode(out -> {
            out.writeStringField("name", self.name());
            out.writeStringField("deployment", self.deployment());
            out.writeNumberField("version", view.version());
            out.writeStringField("digest", view.digest());
            out.writeStringField("standing", standingOf(view, superseded));
            out.writeNumberField("health_factor", healthMultiplier);
            out.writeNumberField("disagreed_ms", millisSince(view.lastAgreedUs(), view));
            out.writeArrayFieldStart("members");
            for (Member member : view.members()) {
                out.writeStartObject();
                writeMember(out, member);
                String name = member.identity().name();
                long changedAtUs = view.changedAtUs().getOrDefault(name, view.takenAtUs());
                out.writeNumberField("for_ms", millisSince(changedAtUs, view));
                out.writeEndObject();
            }
            out.writeEndArray();
        });
    }

    private static String standingOf(MembershipView view, boolean superseded) {
        if (superseded) {
            // Scripts read this value, so it stays although the code says superseded.
            return "outside";
        }
        return view.joined() ? "joined" : "joining";
    }

    private static long millisSince(long timeUs, MembershipView view) {
        return (view.takenAtUs() - timeUs) / MICROS_PER_MILLI;
    }
}
