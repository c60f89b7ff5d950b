package tansypass.node.http;

/**
 * Thrown by the strict decoders for a malformed HTTP message; the exception's message names the malformed part and its
 * value. Callers do not see the exception: Netty turns it into the decoder result of the HTTP message.
 */
final class MalformedMessageException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    MalformedMessageException(String reason) {
        super(reason);
    }
}
