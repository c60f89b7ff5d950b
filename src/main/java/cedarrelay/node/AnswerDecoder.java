package cedarrelay.node;

import io.netty.handler.codec.http.HttpConstants;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;

/**
 * Reads answers by the letter of HTTP/1.1 where Netty's own decoder guesses: it takes a header line without
 * a colon for an empty header, and any number for a status. A head that has to be guessed at may not be
 * the one that was sent, so what follows it can't be passed on as an answer.
 */
final class AnswerDecoder extends HttpResponseDecoder {
    private static final int MAX_CHUNK = 8_192;

    AnswerDecoder(int maxLine, int maxHeaders) {
        super(maxLine, maxHeaders, MAX_CHUNK);
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        if (!initialLine[0].startsWith("HTTP/1.") || !initialLine[1].matches("[1-5][0-9][0-9]")) {
            throw new IllegalArgumentException("not a status line of HTTP/1.1");
        }
        return super.createMessage(initialLine);
    }

    /** Both a length and chunks: one of them is a lie. */
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("framed in two ways");
    }

    /** Netty lets a name end at white space too, and then does without the colon. */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (length == 0 || line[start + length] != HttpConstants.COLON) {
            throw new IllegalArgumentException("a header line that is not a name and a colon");
        }
        return super.splitHeaderName(line, start, length);
    }
}
