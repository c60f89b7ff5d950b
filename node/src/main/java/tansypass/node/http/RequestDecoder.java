package tansypass.node.http;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.util.AsciiString;

/**
 * A strict HTTP/1.1 request decoder. It rejects a request whose end is ambiguous, because part of the request could be
 * taken for another request (request smuggling).
 */
public final class RequestDecoder extends HttpRequestDecoder {
    private static final int MAX_CHUNK_BYTES = 8_192;

    /** Creates a decoder with limits on the length of the request line and of all headers together, in bytes. */
    public RequestDecoder(int maxLineBytes, int maxHeaderBytes) {
        super(maxLineBytes, maxHeaderBytes, MAX_CHUNK_BYTES);
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) throws Exception {
        if (!initialLine[2].matches("HTTP/1\\.[0-9]")) {
            throw new MalformedMessageException("not a version of HTTP/1: " + initialLine[2]);
        }
        return super.createMessage(initialLine);
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        HttpMessageValidator.requireColon(line, start, length);
        return super.splitHeaderName(line, start, length);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw HttpMessageValidator.newAmbiguousFramingException();
    }
}
