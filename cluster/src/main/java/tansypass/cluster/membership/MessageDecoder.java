package tansypass.cluster.membership;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Decodes messages and views in the encoding of its factory. The bytes come from peers and may be anything. */
final class MessageDecoder {
    private final JsonFactory factory;
    private final int maxTextLength;

    MessageDecoder(JsonFactory factory, int maxTextLength) {
        this.factory = factory;
        this.maxTextLength = maxTextLength;
    }

    Message decodeMessage(byte[] bytes, int maxUpdates) throws MalformedMessageException {
        Fields fields = readFields(bytes, maxUpdates);
        Message.Envelope envelope = fields.toEnvelope();
        return switch (require(fields.kind, WireKey.KIND)) {
            case "Ping" -> new Message.Ping(envelope, fields.sequenceNumber(), fields.target());
            case "PingRequest" -> new Message.PingRequest(envelope, fields.sequenceNumber(), fields.target());
            case "Gossip" -> new Message.Gossip(envelope);
            case "Ack" -> new Message.Ack(envelope, fields.sequenceNumber());
            case "Nack" -> new Message.Nack(envelope, fields.sequenceNumber());
            default -> throw new MalformedMessageException("unknown kind");
        };
    }

    Message.Envelope decodeView(byte[] bytes, int maxMembers) throws MalformedMessageException {
        return readFields(bytes, maxMembers).toEnvelope();
    }

    private Fields readFields(byte[] bytes, int maxUpdates) throws MalformedMessageException {
        try (JsonParser parser = factory.createParser(bytes)) {
            Fields fields = new Fields();
            check(parser.nextToken() == JsonToken.START_OBJECT, "not an object");
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                String name = parser.currentName();
                parser.nextToken();
                fields.read(name, parser, maxUpdates);
            }
            check(parser.currentToken() == JsonToken.END_OBJECT, "truncated");
            check(parser.nextToken() == null, "bytes after its end");
            return fields;
        } catch (IOException | RuntimeException e) {
            // Unchecked ones too: no datagram, whatever its bytes, may end the event loop's handler. Jackson's own
            // messages quote the input, so they are not part of this one.
            throw new MalformedMessageException("malformed", e);
        }
    }

    /** Throws an exception with this reason unless the condition holds. */
    static void check(boolean condition, String otherwise) throws MalformedMessageException {
        if (!condition) {
            throw new MalformedMessageException(otherwise);
        }
    }

    /** Returns the value of a required field; throws an exception if it is missing. */
    static <T> T require(T value, String name) throws MalformedMessageException {
        check(value != null, name + " is missing");
        return value;
    }

    private String readText(JsonParser value) throws IOException, MalformedMessageException {
        check(value.currentToken() == JsonToken.VALUE_STRING, "not a text");
        String text = value.getText();
        check(text.length() <= maxTextLength, "text too long");
        return text;
    }

    private List<Member> readUpdates(JsonParser value, int maxUpdates) throws IOException, MalformedMessageException {
        check(value.currentToken() == JsonToken.START_ARRAY, "not a list");
        List<Member> updates = new ArrayList<>();
        while (value.nextToken() == JsonToken.START_OBJECT) {
            check(updates.size() < maxUpdates, "too many updates");
            updates.add(readMember(value));
        }
        check(value.currentToken() == JsonToken.END_ARRAY, "truncated");
        return updates;
    }

    private Member readMember(JsonParser value) throws IOException, MalformedMessageException {
        MemberFields fields = new MemberFields();
        while (value.nextToken() == JsonToken.FIELD_NAME) {
            String name = value.currentName();
            value.nextToken();
            switch (name) {
                case WireKey.NAME -> fields.name = readText(value);
                case WireKey.GENERATION -> fields.generation = value.getLongValue();
                case WireKey.NONCE -> fields.nonce = value.getLongValue();
                case WireKey.ZONE -> fields.zone = readText(value);
                case WireKey.ROLE -> fields.role = readText(value);
                case WireKey.ADDRESS -> fields.address = readText(value);
                case WireKey.OLDEST_VERSION -> fields.oldestVersion = value.getLongValue();
                case WireKey.NEWEST_VERSION -> fields.newestVersion = value.getLongValue();
                case WireKey.STATE -> fields.state = readText(value);
                case WireKey.INCARNATION -> fields.incarnation = value.getLongValue();
                case WireKey.SUSPECTED_BY -> fields.suspectedBy = readText(value);
                case WireKey.DRAINING -> fields.isDraining = value.getBooleanValue();
                default -> value.skipChildren();
            }
        }
        check(value.currentToken() == JsonToken.END_OBJECT, "truncated");
        return fields.toMember();
    }

    /** The fields of a message, as far as they have been read; null where none was. */
    private final class Fields {
        private String kind;
        private String target;
        private Long sequenceNumber;
        private String deployment;
        private Long protocolVersion;
        private String senderName;
        private Long senderGeneration;
        private String digest = "";
        private List<Member> updates;

        void read(String name, JsonParser value, int maxUpdates) throws IOException, MalformedMessageException {
            switch (name) {
                case WireKey.KIND -> kind = readText(value);
                case WireKey.TARGET -> target = readText(value);
                case WireKey.NUMBER -> sequenceNumber = value.getLongValue();
                case WireKey.DEPLOYMENT -> deployment = readText(value);
                case WireKey.PROTOCOL_VERSION -> protocolVersion = value.getLongValue();
                case WireKey.SENDER -> senderName = readText(value);
                case WireKey.SENDER_GENERATION -> senderGeneration = value.getLongValue();
                case WireKey.DIGEST -> digest = readText(value);
                case WireKey.UPDATES -> updates = readUpdates(value, maxUpdates);
                default -> value.skipChildren();
            }
        }

        long sequenceNumber() throws MalformedMessageException {
            return require(sequenceNumber, WireKey.NUMBER);
        }

        String target() throws MalformedMessageException {
            return require(target, WireKey.TARGET);
        }

        Message.Envelope toEnvelope() throws MalformedMessageException {
            // Clamped instead of truncated, so that no other version turns into a known one.
            long anyVersion = require(protocolVersion, WireKey.PROTOCOL_VERSION);
            return new Message.Envelope(
                    require(deployment, WireKey.DEPLOYMENT),
                    (int) Math.max(0, Math.min(Integer.MAX_VALUE, anyVersion)),
                    require(senderName, WireKey.SENDER),
                    require(senderGeneration, WireKey.SENDER_GENERATION),
                    digest,
                    require(updates, WireKey.UPDATES));
        }
    }
}
