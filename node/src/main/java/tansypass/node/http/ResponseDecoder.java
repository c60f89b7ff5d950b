package tansypass.node.http;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;

/**
 * A strict HTTP/1.1 response decoder. Netty's own decoder accepts a header line without a colon as an empty header, and
 * any number as a status. Such a head may differ from the one that the server sent, so the response must not be
 * forwarded.
 */
public final class ResponseDecoder extends HttpResponseDecoder {
    private static final int MAX_CHUNK_BYTES = 8_192;

    /** Creates a decoder with limits on the length of the status line and of all headers together, in bytes. */
    public ResponseDecoder(int maxLineBytes, int maxHeaderBytes) {
        super(maxLineBytes, maxHeaderBytes, MAX_CHUNK_BYTES);
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        if (!initialLine[0].startsWith("HTTP/1.") || !initialLine[1].matches("[1-5][0-9][0-9]")) {
            throw new MalformedMessageException(
                    "not an HTTP/1 version and status: " + initialLine[0] + " " + initialLine[1]);
        }
        return super.createMessage(initialLine);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw HttpMessageValidator.newAmbiguousFramingException();
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        HttpMessageValidator.requireColon(line, start, length);
        return super.splitHeaderName(line, start, length);
    }
}
