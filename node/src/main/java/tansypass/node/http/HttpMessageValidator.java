package tansypass.node.http;

import io.netty.handler.codec.http.HttpConstants;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;

/**
 * The checks that HTTP/1.1 requires for both requests and responses, but that Netty's decoders do not make. A failed
 * check throws a {@link MalformedMessageException}.
 */
public final class HttpMessageValidator {
    private HttpMessageValidator() {}

    /** Rejects a header line without a colon after its name. Netty also accepts white space at the end of a name. */
    static void requireColon(byte[] line, int start, int length) {
        if (length == 0 || line[start + length] != HttpConstants.COLON) {
            throw new MalformedMessageException("header line without a colon after its name, of length " + length);
        }
    }

    /** Creates the exception for a message with both a Content-Length and a chunked Transfer-Encoding. */
    static MalformedMessageException newAmbiguousFramingException() {
        return new MalformedMessageException("both Content-Length and Transfer-Encoding: chunked");
    }

    /** Returns whether the body has a transfer coding other than chunked. */
    public static boolean hasUnsupportedTransferCoding(HttpMessage head) {
        return head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING).stream()
                .anyMatch(coding -> !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(coding));
    }
}
