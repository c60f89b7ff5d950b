package tansypass.node.frontend;

import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import tansypass.node.admin.NodeMetrics;
import tansypass.node.http.ResponseBodySink;
import tansypass.node.http.ResponseFactory;
import tansypass.node.http.UpstreamResponse;

/**
 * A client's request and the one response that the client gets. A second complete response is discarded. Used on the
 * event loop only.
 */
public final class Exchange {
    private static final long US_PER_MS = 1_000;
    private static final long MS_PER_SECOND = 1_000;
    private static final long US_PER_SECOND = US_PER_MS * MS_PER_SECOND;

    private final ResponseWriter writer;
    private final NodeMetrics metrics;
    private final ClientRequest request;
    private final boolean keepAlive;
    private final boolean acceptsChunks;
    private Runnable disconnectListener = () -> {};
    private Runnable completionListener = () -> {};
    private Runnable notReplayableListener = () -> {};
    private long earliestArrivalNs;
    private boolean complete;
    private boolean answered;
    /** The streamed response that has been started, or null. */
    private ResponseStream stream;

    /** Creates the exchange of a request whose head has been received. */
    Exchange(ClientConnection connection, NodeMetrics metrics, ClientRequest request, HttpRequest head) {
        this.metrics = metrics;
        this.request = request;
        writer = connection.writer();
        keepAlive = HttpUtil.isKeepAlive(head);
        acceptsChunks = head.protocolVersion().isKeepAliveDefault();
        request.body().setListeners(connection.reader()::updateReading, () -> notReplayableListener.run());
    }

    /** Returns the request. Its body may not have been received completely yet. */
    public ClientRequest request() {
        return request;
    }

    /**
     * Returns the earliest time at which the request's last byte may have arrived, by {@link System#nanoTime}; 0 until
     * the request has been received completely.
     */
    public long earliestArrivalNs() {
        return earliestArrivalNs;
    }

    /**
     * Records that the request has been received completely.
     *
     * @param lastByteNs the earliest time at which its last byte may have arrived, by {@link System#nanoTime}
     */
    void completeRequest(long lastByteNs) {
        earliestArrivalNs = lastByteNs;
        complete = true;
        metrics.recordReceived();
        request.body().complete();
        completionListener.run();
    }

    /** Returns whether the request has been received completely. */
    public boolean isComplete() {
        return complete;
    }

    /**
     * Sets the callbacks that run when the request has been received completely, and when its body stops being
     * replayable.
     */
    public void setUploadListeners(Runnable whenComplete, Runnable whenNotReplayable) {
        completionListener = whenComplete;
        notReplayableListener = whenNotReplayable;
    }

    /** Sets the callback that runs if the client disconnects before its response has been sent. */
    public void setDisconnectListener(Runnable listener) {
        disconnectListener = listener;
    }

    /** Sends a server's complete response to the client. */
    public void sendResponse(UpstreamResponse upstream) {
        FullHttpResponse response = ResponseFactory.newResponse(HttpResponseStatus.OK, upstream.body());
        if (upstream.contentType() != null) {
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, upstream.contentType());
        }
        send(response);
    }

    /**
     * Starts a streamed response. The caller ends it with {@link ResponseBodySink#finish} or {@link #abort}.
     *
     * @param contentType the content type, or null for none
     * @param lengthBytes the body's length, or -1 if it is unknown
     * @param whenWritable runs when the connection is writable again after it was not
     * @return the sink of the body
     */
    public ResponseBodySink startResponse(String contentType, long lengthBytes, Runnable whenWritable) {
        answered = true;
        stream = new ResponseStream(this, writer, lengthBytes);
        request.body().close();
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        if (contentType != null) {
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
        }
        if (lengthBytes >= 0) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, lengthBytes);
        } else if (acceptsChunks) {
            response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        writer.startResponse(response, keepAlive && (lengthBytes >= 0 || acceptsChunks), whenWritable);
        return stream;
    }

    /** Returns whether the streamed response, which must have started, is known to be too long to be buffered. */
    public boolean isLongResponse() {
        return stream.isLong();
    }

    /** Returns whether the length of the streamed response, which must have started, is declared. */
    public boolean hasDeclaredLength() {
        return stream.hasDeclaredLength();
    }

    /**
     * Returns for how many nanoseconds the mean rate of the streamed response, which must have started, stays
     * sufficient if nothing more is received; negative if it is too low.
     */
    public long meanRateSufficientForNs() {
        return stream.meanRateSufficientForNs();
    }

    /** Returns the time since the last part of the streamed response, which must have started. */
    public long responseIdleNs() {
        return stream.idleNs();
    }

    /** Returns the length of what has been forwarded of the streamed response, which must have started. */
    public long forwardedBytes() {
        return stream.forwardedBytes();
    }

    /** Starts to measure the rate of the streamed response, which must have started. */
    public void startRateMeasurement() {
        stream.startRateMeasurement();
    }

    /**
     * Returns whether the streamed response has been below the lowest accepted rate since the measurement started, or
     * is over the length limit. Starts the next measurement.
     */
    public boolean isResponseTooSlowOrTooLong() {
        return stream.isTooSlowOrTooLong();
    }

    /**
     * Aborts a streamed response by resetting the connection, which shows the client that the response is incomplete.
     */
    public void abort() {
        metrics.recordResponse(request.classIndex(), NodeMetrics.Outcome.FAILED);
        recordFinished();
        writer.abort();
    }

    /** Returns whether a response has been sent or started, or the client has disconnected. */
    public boolean isAnswered() {
        return answered;
    }

    /**
     * Responds that the request was not executed and can be retried.
     *
     * @param retryAfterUs the time after which a retry is advised, in microseconds; 0 or less for no advice
     */
    public void reject(long retryAfterUs) {
        FullHttpResponse response =
                ResponseFactory.newText(HttpResponseStatus.SERVICE_UNAVAILABLE, "refused, try again");
        if (retryAfterUs > 0) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, formatSeconds(retryAfterUs));
        }
        send(response);
    }

    /** Formats a duration in seconds: as an integer if it is one, otherwise rounded up to milliseconds. */
    private static String formatSeconds(long durationUs) {
        if (durationUs % US_PER_SECOND == 0) {
            return Long.toString(durationUs / US_PER_SECOND);
        }
        double wholeMs = Math.ceil(durationUs / (double) US_PER_MS);
        return Double.toString(wholeMs / MS_PER_SECOND);
    }

    /** Responds with an error that does not tell the client whether the request was executed. */
    public void fail(HttpResponseStatus status, String reason) {
        send(ResponseFactory.newText(status, reason));
    }

    /** Ends the exchange without a response, because the client has disconnected or its request was rejected. */
    void disconnect() {
        answered = true;
        recordFinished();
        // The request ends first, so that an attempt that ends with the body is not retried.
        disconnectListener.run();
        request.body().close();
    }

    /** Records the outcome of the streamed response once its last byte has been written. */
    void onStreamFinished(ChannelFuture writing) {
        recordWhenWritten(writing, NodeMetrics.Outcome.SERVED);
    }

    private void recordFinished() {
        if (complete) {
            metrics.recordFinished();
        }
    }

    private void send(FullHttpResponse response) {
        if (answered) {
            response.release();
            return;
        }
        answered = true;
        request.body().close();
        NodeMetrics.Outcome outcome = NodeMetrics.Outcome.of(response.status());
        recordWhenWritten(writer.sendResponse(response, keepAlive), outcome);
    }

    private void recordWhenWritten(ChannelFuture writing, NodeMetrics.Outcome outcome) {
        writing.addListener(written -> {
            recordFinished();
            if (written.isSuccess()) {
                metrics.recordResponse(request.classIndex(), outcome);
            }
        });
    }
}
