package tansypass.node.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.AsciiString;
import java.util.List;

/**
 * A strict HTTP/1.1 request decoder. It rejects a request whose end is ambiguous, because part of the request could be
 * taken for another request (request smuggling). It decodes one request at a time: the bytes behind a request are
 * handed back undecoded, because decoded messages use many times as much memory. Used on the channel's event loop only.
 */
public final class RequestDecoder extends HttpRequestDecoder {
    /** Decides how far the input is decoded, and keeps the remainder. */
    public interface InputQueue {
        /** Returns whether the next message may be decoded. */
        boolean canDecode();

        /** Takes the remainder of the input, which may not be decoded yet: all readable bytes of the buffer. */
        void takeRemainder(ByteBuf input);
    }

    private static final int MAX_CHUNK_BYTES = 8_192;
    /** Each field costs over a hundred bytes of heap, however short it is. */
    public static final int MAX_HEADER_FIELDS = 100;

    private static final int HTTP_1_VERSION_LENGTH = "HTTP/1.x".length();

    private final InputQueue queue;
    /** The number of header and trailer fields of the present message. */
    private int fieldCount;

    /** Creates a decoder with limits on the length of the request line and of all headers together, in bytes. */
    public RequestDecoder(int maxLineBytes, int maxHeaderBytes, InputQueue queue) {
        super(maxLineBytes, maxHeaderBytes, MAX_CHUNK_BYTES);
        this.queue = queue;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf input, List<Object> messages) throws Exception {
        if (queue.canDecode()) {
            super.decode(ctx, input, messages);
        } else {
            queue.takeRemainder(input);
        }
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) throws Exception {
        fieldCount = 0;
        if (!isHttp1(initialLine[2])) {
            throw new MalformedMessageException("not a version of HTTP/1: " + initialLine[2]);
        }
        return super.createMessage(initialLine);
    }

    private static boolean isHttp1(String version) {
        return version.length() == HTTP_1_VERSION_LENGTH
                && version.startsWith("HTTP/1.")
                && isDigit(version.charAt(HTTP_1_VERSION_LENGTH - 1));
    }

    private static boolean isDigit(char c) {
        return c >= '0' && c <= '9';
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        HttpMessageValidator.requireColon(line, start, length);
        fieldCount++;
        if (fieldCount > MAX_HEADER_FIELDS) {
            throw new TooLongHttpHeaderException("more than " + MAX_HEADER_FIELDS + " header fields");
        }
        return super.splitHeaderName(line, start, length);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw HttpMessageValidator.newAmbiguousFramingException();
    }
}
