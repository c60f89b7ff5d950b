package cedarrelay.node;

import io.netty.handler.codec.http.HttpConstants;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.util.AsciiString;

/**
 * Reads requests by the letter of HTTP/1.1, as {@link AnswerDecoder} does answers: where it is not certain
 * where a request ends, what follows it could be taken for another one.
 */
final class RequestDecoder extends HttpRequestDecoder {
    private static final int MAX_CHUNK = 8_192;

    RequestDecoder(int maxLine, int maxHeaders) {
        super(maxLine, maxHeaders, MAX_CHUNK);
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) throws Exception {
        if (!initialLine[2].matches("HTTP/1\\.[0-9]")) {
            throw new IllegalArgumentException("not a request line of HTTP/1.1");
        }
        return super.createMessage(initialLine);
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (length == 0 || line[start + length] != HttpConstants.COLON) {
            throw new IllegalArgumentException("a header line that is not a name and a colon");
        }
        return super.splitHeaderName(line, start, length);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("framed in two ways");
    }

    /** Whether its body comes in a coding that is not read here. */
    static boolean isCodedUnread(HttpMessage head) {
        return head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING).stream()
                .anyMatch(coding -> !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(coding));
    }
}
