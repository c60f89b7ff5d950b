package tansypass.cluster.membership;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;

/**
 * Encodes and decodes messages and views. Datagrams are encoded in CBOR (RFC 8949); push-pull syncs and the view page
 * are encoded in JSON, with the same keys. The decoder skips unknown keys, so later versions can add keys. It throws a
 * {@link MalformedMessageException} unless it can decode the input completely. Thread-safe.
 */
public final class MessageCodec {
    /** The protocol version that this code sends. */
    public static final int VERSION = 1;
    /** The maximum length of a datagram; short enough that IP does not fragment it. */
    public static final int MAX_DATAGRAM_BYTES = 1_400;
    /** The maximum length of the encoded view in a push-pull sync. */
    public static final int MAX_VIEW_BYTES = 4 << 20;

    private static final int MAX_TEXT_LENGTH = 256;
    private static final int MAX_NESTING_DEPTH = 8;
    private static final int MAX_DATAGRAM_UPDATES = 64;

    private final MessageEncoder cborEncoder;
    private final MessageEncoder jsonEncoder;
    private final MessageDecoder cborDecoder;
    private final MessageDecoder jsonDecoder;

    /** Creates a codec with its own encoders and decoders. */
    public MessageCodec() {
        JsonFactory cbor =
                CBORFactory.builder().streamReadConstraints(constraints()).build();
        JsonFactory json =
                JsonFactory.builder().streamReadConstraints(constraints()).build();
        cborEncoder = new MessageEncoder(cbor);
        jsonEncoder = new MessageEncoder(json);
        cborDecoder = new MessageDecoder(cbor, MAX_TEXT_LENGTH);
        jsonDecoder = new MessageDecoder(json, MAX_TEXT_LENGTH);
    }

    private static StreamReadConstraints constraints() {
        return StreamReadConstraints.builder()
                .maxNestingDepth(MAX_NESTING_DEPTH)
                .maxStringLength(MAX_TEXT_LENGTH)
                .maxNameLength(MAX_TEXT_LENGTH)
                .maxNumberLength(MAX_TEXT_LENGTH)
                .build();
    }

    /** Encodes a datagram. */
    public byte[] encode(Message message) {
        return cborEncoder.encodeMessage(message);
    }

    /** Returns the number of bytes that an update takes in a datagram. */
    int encodedSize(Member update) {
        return cborEncoder.encodeMember(update).length;
    }

    /** Encodes a complete view for a push-pull sync. */
    public byte[] encodeView(Message.Envelope envelope) {
        return jsonEncoder.encodeView(envelope);
    }

    /**
     * Encodes the view page, on which operators see the view of a process.
     *
     * @param superseded the value of {@link SwimProtocol#isSuperseded}
     * @param healthMultiplier the value of {@link SwimProtocol#healthMultiplier}
     */
    public byte[] encodeViewPage(Identity self, MembershipView view, boolean superseded, int healthMultiplier) {
        return jsonEncoder.encodeViewPage(self, view, superseded, healthMultiplier);
    }

    /** Decodes a datagram. */
    public Message decode(byte[] datagram) throws MalformedMessageException {
        checkLength(MAX_DATAGRAM_BYTES, datagram);
        return cborDecoder.decodeMessage(datagram, MAX_DATAGRAM_UPDATES);
    }

    /** Decodes the complete view of a push-pull sync, which may have at most {@code maxMembers} entries. */
    public Message.Envelope decodeView(byte[] body, int maxMembers) throws MalformedMessageException {
        checkLength(MAX_VIEW_BYTES, body);
        return jsonDecoder.decodeView(body, maxMembers);
    }

    private static void checkLength(int maxBytes, byte[] bytes) throws MalformedMessageException {
        if (bytes.length > maxBytes) {
            throw new MalformedMessageException(
                    "message has " + bytes.length + " bytes, more than the maximum of " + maxBytes);
        }
    }
}
