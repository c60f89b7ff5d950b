package tansypass.node.frontend;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import tansypass.node.http.RequestBody;

/**
 * A client's request, parsed and validated.
 *
 * @param id the value of its {@code X-Txn} header
 * @param classIndex index of its class in the settings
 * @param tenant index of its tenant in the settings, or -1
 * @param remainingUs how long the client waits for the response, in microseconds from when it sent the request
 * @param workUs the client's estimate of the request's execution time in microseconds, or 0 if it gave none
 * @param retry whether the client has sent the request before
 * @param headers the end-to-end headers, which are forwarded to a server
 * @param declaredLengthBytes the length of its body as declared in its head, or -1 if that declares none
 */
public record ClientRequest(
        long id,
        int classIndex,
        int tenant,
        long remainingUs,
        long workUs,
        boolean retry,
        HttpMethod method,
        String uri,
        HttpHeaders headers,
        long declaredLengthBytes,
        RequestBody body) {

    static final String REMAINING_TIME_HEADER = "X-Remaining-Ms";

    private static final long US_PER_MS = 1_000;

    /**
     * Returns whether the request's class is idempotent. The parser accepts GET for the idempotent classes only, and
     * no other method for them.
     */
    public boolean isIdempotent() {
        return method.equals(HttpMethod.GET);
    }

    /**
     * Creates the message to a server. It consists of the head only while the body is still being received.
     *
     * @param waitUs how long the node waits for the response, in microseconds
     */
    public HttpRequest createUpstreamMessage(long waitUs) {
        HttpRequest message = body.isComplete()
                ? new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        method,
                        uri,
                        body.retainedContent(),
                        headers.copy(),
                        DefaultHttpHeadersFactory.trailersFactory().newEmptyHeaders())
                : new DefaultHttpRequest(HttpVersion.HTTP_1_1, method, uri, headers.copy());
        message.headers().set(REMAINING_TIME_HEADER, Math.max(1, waitUs / US_PER_MS));
        setBodyHeaders(message.headers());
        return message;
    }

    private void setBodyHeaders(HttpHeaders upstreamHeaders) {
        if (!body.isComplete() && declaredLengthBytes < 0) {
            upstreamHeaders.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        } else if (!body.isComplete() || body.length() > 0 || method.equals(HttpMethod.POST)) {
            upstreamHeaders.set(
                    HttpHeaderNames.CONTENT_LENGTH, body.isComplete() ? body.length() : declaredLengthBytes);
        }
    }
}
