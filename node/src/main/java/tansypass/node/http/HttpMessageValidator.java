package tansypass.node.http;

import io.netty.handler.codec.http.HttpConstants;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;

/**
 * Checks that HTTP/1.1 requires of requests and responses alike and that Netty's decoders leave out. A failed check is
 * a {@link MalformedMessageException}.
 */
public final class HttpMessageValidator {
    private HttpMessageValidator() {}

    /** Rejects a header name without a colon after it: Netty also lets a name end at white space. */
    static void requireColon(byte[] line, int start, int length) {
        if (length == 0 || line[start + length] != HttpConstants.COLON) {
            throw new MalformedMessageException("header line without a colon after its name, of length " + length);
        }
    }

    /** Returns the exception for a message with both a Content-Length and a chunked Transfer-Encoding. */
    static MalformedMessageException newAmbiguousFramingException() {
        return new MalformedMessageException("both Content-Length and Transfer-Encoding: chunked");
    }

    /** Returns whether the body has a transfer coding other than chunked. */
    public static boolean hasUnsupportedTransferCoding(HttpMessage head) {
        return head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING).stream()
                .anyMatch(coding -> !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(coding));
    }
}
