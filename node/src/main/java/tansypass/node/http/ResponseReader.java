package tansypass.node.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Reads one response from a server. A short response is buffered completely, so that no part of it has been forwarded
 * if it turns out to be malformed. A long response is streamed to a sink. Used on one event loop only.
 */
public final class ResponseReader {
    /** Length of the longest response body that is buffered completely; less while much memory is in use. */
    public static final int MAX_BUFFERED_BYTES = 64 * 1024;

    private static final String REJECTED_HEADER = "X-Turned-Away";
    private static final byte[] EMPTY_BODY = new byte[0];

    /** The state of a response that is being read. */
    public enum State {
        /** More parts are expected. */
        INCOMPLETE,
        /** More parts are expected, and the response is too long to be buffered: see {@link #streamTo}. */
        LONG,
        /** The response is complete, or all of it that is needed has been received. */
        COMPLETE,
        /** The response is invalid. */
        MALFORMED
    }

    private final HeapBufferLimiter memoryLimiter;
    private HttpResponse head;
    private ByteBuf bufferedBody = Unpooled.EMPTY_BUFFER;
    private ResponseBodySink sink;
    /** The memory that is counted for the buffer. */
    private int countedBytes;

    private long skippedBytes;
    private boolean complete;

    /** Creates a reader whose buffer counts towards the limiter's total. */
    public ResponseReader(HeapBufferLimiter memoryLimiter) {
        this.memoryLimiter = memoryLimiter;
    }

    /** Processes a decoded part of the response. The caller must release the part. */
    public State read(HttpObject message) {
        if (message.decoderResult().isFailure()) {
            return State.MALFORMED;
        }
        if (message instanceof HttpResponse response) {
            if (isUnsupported(response)) {
                return State.MALFORMED;
            }
            head = response;
        }
        if (message instanceof HttpContent content) {
            appendBody(content.content());
            if (message instanceof LastHttpContent) {
                return completeMessage();
            }
        }
        if (isSuccess()) {
            return sink == null && isTooLongToBuffer() ? State.LONG : State.INCOMPLETE;
        }
        // Only the head of an unsuccessful response is used: its body is skipped, up to a limit.
        return skippedBytes > MAX_BUFFERED_BYTES ? State.COMPLETE : State.INCOMPLETE;
    }

    private boolean isTooLongToBuffer() {
        int maxBytes = memoryLimiter.maxResponseBytes();
        return bufferedBody.readableBytes() > maxBytes || HttpUtil.getContentLength(head, 0L) > maxBytes;
    }

    private void countBuffer(int bytes) {
        memoryLimiter.add(bytes - countedBytes);
        countedBytes = bytes;
    }

    /** Drops the buffer. Must be called when the response is not read further; further calls have no effect. */
    public void close() {
        bufferedBody = Unpooled.EMPTY_BUFFER;
        countBuffer(0);
    }

    /**
     * Returns whether the response has an unsupported transfer coding, or switches protocols, which the node never
     * requests.
     */
    private static boolean isUnsupported(HttpResponse response) {
        return response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)
                || HttpMessageValidator.hasUnsupportedTransferCoding(response);
    }

    @SuppressWarnings("ReferenceEquality") // The shared empty buffer means that no body was received yet.
    private void appendBody(ByteBuf part) {
        if (!isSuccess()) {
            skippedBytes += part.readableBytes();
        } else if (sink != null) {
            sink.write(part.retain());
        } else if (part.isReadable()) {
            bufferedBody = bufferedBody == Unpooled.EMPTY_BUFFER ? Unpooled.buffer(part.readableBytes()) : bufferedBody;
            bufferedBody.writeBytes(part);
            countBuffer(bufferedBody.capacity());
        }
    }

    private State completeMessage() {
        if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            head = null;
            return State.INCOMPLETE;
        }
        if (isSuccess() && !isFramed() && HttpUtil.isKeepAlive(head)) {
            // The end of the connection ended the response, without "Connection: close". A server that crashes while it
            // sends a response looks the same.
            return State.MALFORMED;
        }
        complete = true;
        return State.COMPLETE;
    }

    /** Forwards the buffered part of the body, and all parts after it, to the sink. */
    public void streamTo(ResponseBodySink destination) {
        sink = destination;
        sink.write(bufferedBody);
        sink.flush();
        close();
    }

    /** Returns whether the response is streamed to a sink instead of being buffered. */
    public boolean isStreaming() {
        return sink != null;
    }

    /** Returns the sink to which the response is streamed; null unless {@link #isStreaming}. */
    public ResponseBodySink sinkOrNull() {
        return sink;
    }

    /** Returns whether a successful response without a Content-Length is being buffered. */
    public boolean isLengthUnknown() {
        return head != null && isSuccess() && sink == null && !HttpUtil.isContentLengthSet(head);
    }

    /** Returns whether the head of a final response with a status other than 200 was received. Its body is not used. */
    public boolean isUnsuccessful() {
        return head != null && !isSuccess() && head.status().codeClass() != HttpStatusClass.INFORMATIONAL;
    }

    /** Returns whether the head of a response with status 200 was received. */
    public boolean isSuccess() {
        return head != null && head.status().code() == 200;
    }

    /** Returns whether the server rejected the request without executing it. The head must have been received. */
    public boolean isRejected() {
        int status = head.status().code();
        return (status == 503 || status == 504) && "1".equals(head.headers().get(REJECTED_HEADER));
    }

    /** Returns whether the connection can be reused for another request. */
    public boolean canReuseConnection() {
        return complete && isFramed() && HttpUtil.isKeepAlive(head);
    }

    private boolean isFramed() {
        return HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
    }

    /** Returns the Content-Type of the response, or null if the head has none. */
    public String contentTypeOrNull() {
        return head.headers().get(HttpHeaderNames.CONTENT_TYPE);
    }

    /** Returns the Content-Length of the response, or -1 if the head has none. */
    public long contentLength() {
        return HttpUtil.getContentLength(head, -1L);
    }

    /** Returns the buffered response and empties the buffer. Must be called at most once. */
    public UpstreamResponse takeBuffered() {
        byte[] body = bufferedBody.isReadable() ? new byte[bufferedBody.readableBytes()] : EMPTY_BODY;
        bufferedBody.readBytes(body);
        close();
        return new UpstreamResponse(head.status().code(), contentTypeOrNull(), body);
    }
}
