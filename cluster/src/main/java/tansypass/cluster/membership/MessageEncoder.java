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
        void writeFields(JsonGenerator generator) throws IOException;
    }

    private byte[] encode(FieldWriter fieldWriter) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(MessageCodec.MAX_DATAGRAM_BYTES);
        try (JsonGenerator generator = factory.createGenerator(bytes)) {
            generator.writeStartObject();
            fieldWriter.writeFields(generator);
            generator.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException("encoding a message in memory failed", e);
        }
        return bytes.toByteArray();
    }

    byte[] encodeMessage(Message message) {
        return encode(generator -> {
            generator.writeStringField(WireKey.KIND, kindOf(message));
            if (message instanceof Message.Ping ping) {
                writeProbe(generator, ping.sequenceNumber(), ping.target());
            } else if (message instanceof Message.PingRequest request) {
                writeProbe(generator, request.sequenceNumber(), request.target());
            } else if (message instanceof Message.Ack ack) {
                generator.writeNumberField(WireKey.NUMBER, ack.sequenceNumber());
            } else if (message instanceof Message.Nack nack) {
                generator.writeNumberField(WireKey.NUMBER, nack.sequenceNumber());
            }
            writeEnvelope(generator, message.envelope());
        });
    }

    private static String kindOf(Message message) {
        return message.getClass().getSimpleName();
    }

    private static void writeProbe(JsonGenerator generator, long sequenceNumber, String target) throws IOException {
        generator.writeNumberField(WireKey.NUMBER, sequenceNumber);
        generator.writeStringField(WireKey.TARGET, target);
    }

    /** Encodes a single member, in the form that it has in the updates of a message. */
    byte[] encodeMember(Member member) {
        return encode(generator -> writeMember(generator, member));
    }

    byte[] encodeView(Message.Envelope envelope) {
        return encode(generator -> writeEnvelope(generator, envelope));
    }

    private static void writeEnvelope(JsonGenerator generator, Message.Envelope envelope) throws IOException {
        generator.writeStringField(WireKey.DEPLOYMENT, envelope.deployment());
        generator.writeNumberField(WireKey.PROTOCOL_VERSION, envelope.protocolVersion());
        generator.writeStringField(WireKey.SENDER, envelope.senderName());
        generator.writeNumberField(WireKey.SENDER_GENERATION, envelope.senderGeneration());
        if (!envelope.digest().isEmpty()) {
            generator.writeStringField(WireKey.DIGEST, envelope.digest());
        }
        generator.writeArrayFieldStart(WireKey.UPDATES);
        for (Member member : envelope.updates()) {
            generator.writeStartObject();
            writeMember(generator, member);
            generator.writeEndObject();
        }
        generator.writeEndArray();
    }

    private static void writeMember(JsonGenerator generator, Member member) throws IOException {
        writeIdentity(generator, member.identity());
        generator.writeStringField(WireKey.STATE, member.state().name().toLowerCase(Locale.ROOT));
        generator.writeNumberField(WireKey.INCARNATION, member.incarnation());
        if (!member.suspectedBy().isEmpty()) {
            generator.writeStringField(WireKey.SUSPECTED_BY, member.suspectedBy());
        }
        if (member.isDraining()) {
            generator.writeBooleanField(WireKey.DRAINING, true);
        }
    }

    private static void writeIdentity(JsonGenerator generator, Identity identity) throws IOException {
        generator.writeStringField(WireKey.NAME, identity.name());
        generator.writeNumberField(WireKey.GENERATION, identity.generation());
        generator.writeNumberField(WireKey.NONCE, identity.nonce());
        generator.writeStringField(WireKey.ZONE, identity.zone());
        generator.writeStringField(WireKey.ROLE, identity.role().name().toLowerCase(Locale.ROOT));
        String host = identity.address().getAddress().getHostAddress();
        generator.writeStringField(
                WireKey.ADDRESS, host + ":" + identity.address().getPort());
        generator.writeNumberField(WireKey.OLDEST_VERSION, identity.oldestVersion());
        generator.writeNumberField(WireKey.NEWEST_VERSION, identity.newestVersion());
    }

    /** Encodes the view page. Scripts of operators read its keys and values. */
    byte[] encodeViewPage(Identity self, MembershipView view, boolean superseded, int healthMultiplier) {
        return encode(generator -> {
            generator.writeStringField("name", self.name());
            generator.writeStringField("deployment", self.deployment());
            generator.writeNumberField("version", view.version());
            generator.writeStringField("digest", view.digest());
            generator.writeStringField("standing", standingOf(view, superseded));
            generator.writeNumberField("health_factor", healthMultiplier);
            generator.writeNumberField("disagreed_ms", millisSince(view.lastAgreedUs(), view));
            generator.writeArrayFieldStart("members");
            for (Member member : view.members()) {
                generator.writeStartObject();
                writeMember(generator, member);
                String name = member.identity().name();
                long changedAtUs = view.changedAtUs().getOrDefault(name, view.takenAtUs());
                generator.writeNumberField("for_ms", millisSince(changedAtUs, view));
                generator.writeEndObject();
            }
            generator.writeEndArray();
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
