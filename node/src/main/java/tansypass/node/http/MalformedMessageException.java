package tansypass.node.http;

/**
 * An HTTP message that the strict decoders reject; the text names what is malformed, with its value. It does not leave
 * the decoders: Netty turns it into the decoder result of the message.
 */
final class MalformedMessageException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    MalformedMessageException(String reason) {
        super(reason);
    }
}
