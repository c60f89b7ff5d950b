package tansypass.cluster.membership;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Decodes messages and views in the format of the JSON factory: CBOR or JSON. The bytes come from peers and may be
 * arbitrary.
 */
final class MessageDecoder {
    private final JsonFactory factory;
    private final int maxTextLength;

    MessageDecoder(JsonFactory factory, int maxTextLength) {
        this.factory = factory;
        this.maxTextLength = maxTextLength;
    }

    Message decodeMessage(byte[] bytes, int maxUpdates) throws MalformedMessageException {
        MessageFields fields = readFields(bytes, maxUpdates);
        Message.Envelope envelope = fields.toEnvelope();
        return switch (require(fields.kind, WireKey.KIND)) {
            case "Ping" -> new Message.Ping(envelope, fields.sequenceNumber(), fields.target());
            case "PingRequest" -> new Message.PingRequest(envelope, fields.sequenceNumber(), fields.target());
            case "Gossip" -> new Message.Gossip(envelope);
            case "Ack" -> new Message.Ack(envelope, fields.sequenceNumber());
            case "Nack" -> new Message.Nack(envelope, fields.sequenceNumber());
            default -> throw new MalformedMessageException("message kind is unknown");
        };
    }

    Message.Envelope decodeView(byte[] bytes, int maxMembers) throws MalformedMessageException {
        return readFields(bytes, maxMembers).toEnvelope();
    }

    private MessageFields readFields(byte[] bytes, int maxUpdates) throws MalformedMessageException {
        try (JsonParser parser = factory.createParser(bytes)) {
            MessageFields fields = new MessageFields();
            check(parser.nextToken() == JsonToken.START_OBJECT, "message is not an object");
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                String name = parser.currentName();
                parser.nextToken();
                fields.read(name, parser, maxUpdates);
            }
            check(parser.currentToken() == JsonToken.END_OBJECT, "message is truncated");
            check(parser.nextToken() == null, "message is followed by further bytes");
            return fields;
        } catch (IOException | RuntimeException e) {
            // Unchecked exceptions are caught too, because no datagram may make the handler on the event loop fail.
            // The messages of Jackson quote the input, so this message does not include them.
            throw new MalformedMessageException("message is malformed", e);
        }
    }

    /** Throws an exception with the given reason unless the condition is true. */
    static void check(boolean condition, String reason) throws MalformedMessageException {
        if (!condition) {
            throw new MalformedMessageException(reason);
        }
    }

    /** Returns the value of a required field; throws an exception if the value is null. */
    static <T> T require(T value, String key) throws MalformedMessageException {
        check(value != null, key + " is missing");
        return value;
    }

    private String readText(JsonParser parser) throws IOException, MalformedMessageException {
        check(parser.currentToken() == JsonToken.VALUE_STRING, "value is not a text");
        String text = parser.getText();
        check(text.length() <= maxTextLength, "text is too long");
        return text;
    }

    private List<Member> readUpdates(JsonParser parser, int maxUpdates) throws IOException, MalformedMessageException {
        check(parser.currentToken() == JsonToken.START_ARRAY, "updates are not a list");
        List<Member> updates = new ArrayList<>();
        while (parser.nextToken() == JsonToken.START_OBJECT) {
            check(updates.size() < maxUpdates, "message has too many updates");
            updates.add(readMember(parser));
        }
        check(parser.currentToken() == JsonToken.END_ARRAY, "list of updates is truncated");
        return updates;
    }

    private Member readMember(JsonParser parser) throws IOException, MalformedMessageException {
        MemberFields fields = new MemberFields();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            parser.nextToken();
            switch (name) {
                case WireKey.NAME -> fields.name = readText(parser);
                case WireKey.GENERATION -> fields.generation = parser.getLongValue();
                case WireKey.NONCE -> fields.nonce = parser.getLongValue();
                case WireKey.ZONE -> fields.zone = readText(parser);
                case WireKey.ROLE -> fields.role = readText(parser);
                case WireKey.ADDRESS -> fields.address = readText(parser);
                case WireKey.OLDEST_VERSION -> fields.oldestVersion = parser.getLongValue();
                case WireKey.NEWEST_VERSION -> fields.newestVersion = parser.getLongValue();
                case WireKey.STATE -> fields.state = readText(parser);
                case WireKey.INCARNATION -> fields.incarnation = parser.getLongValue();
                case WireKey.SUSPECTED_BY -> fields.suspectedBy = readText(parser);
                case WireKey.DRAINING -> fields.isDraining = parser.getBooleanValue();
                default -> parser.skipChildren();
            }
        }
        check(parser.currentToken() == JsonToken.END_OBJECT, "member is truncated");
        return fields.toMember();
    }

    /** The fields of a message that have been read so far. A required field that has not been read is null. */
    private final class MessageFields {
        private String kind;
        private String target;
        private Long sequenceNumber;
        private String deployment;
        private Long protocolVersion;
        private String senderName;
        private Long senderGeneration;
        private String digest = "";
        private List<Member> updates;

        void read(String name, JsonParser parser, int maxUpdates) throws IOException, MalformedMessageException {
            switch (name) {
                case WireKey.KIND -> kind = readText(parser);
                case WireKey.TARGET -> target = readText(parser);
                case WireKey.NUMBER -> sequenceNumber = parser.getLongValue();
                case WireKey.DEPLOYMENT -> deployment = readText(parser);
                case WireKey.PROTOCOL_VERSION -> protocolVersion = parser.getLongValue();
                case WireKey.SENDER -> senderName = readText(parser);
                case WireKey.SENDER_GENERATION -> senderGeneration = parser.getLongValue();
                case WireKey.DIGEST -> digest = readText(parser);
                case WireKey.UPDATES -> updates = readUpdates(parser, maxUpdates);
                default -> parser.skipChildren();
            }
        }

        long sequenceNumber() throws MalformedMessageException {
            return require(sequenceNumber, WireKey.NUMBER);
        }

        String target() throws MalformedMessageException {
            return require(target, WireKey.TARGET);
        }

        Message.Envelope toEnvelope() throws MalformedMessageException {
            // The version is clamped to the range of int. A cast alone could turn an unknown version into a known one.
            long encodedVersion = require(protocolVersion, WireKey.PROTOCOL_VERSION);
            return new Message.Envelope(
                    require(deployment, WireKey.DEPLOYMENT),
                    (int) Math.max(0, Math.min(Integer.MAX_VALUE, encodedVersion)),
                    require(senderName, WireKey.SENDER),
                    require(senderGeneration, WireKey.SENDER_GENERATION),
                    digest,
                    require(updates, WireKey.UPDATES));
        }
    }
}
