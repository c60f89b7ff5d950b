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
 * A client's request and the one response that it gets. A second complete response is discarded. Used on the event
 * loop only.
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
    /** The response if it is a streamed one that has started, or null. */
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

    /** Returns the request; its body may still be being received. */
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
     * Marks the request as received.
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

    /** Returns whether the last byte has been received. */
    public boolean isComplete() {
        return complete;
    }

    /** Sets what runs when the last byte has been received, and when the body stops being replayable. */
    public void setUploadListeners(Runnable whenComplete, Runnable whenNotReplayable) {
        completionListener = whenComplete;
        notReplayableListener = whenNotReplayable;
    }

    /** Sets what runs if the client disconnects before its response has been sent. */
    public void setDisconnectListener(Runnable listener) {
        disconnectListener = listener;
    }

    /** Sends a server's complete response. */
    public void sendResponse(UpstreamResponse upstream) {
        FullHttpResponse response = ResponseFactory.newResponse(HttpResponseStatus.OK, upstream.body());
        if (upstream.contentType() != null) {
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, upstream.contentType());
        }
        send(response);
    }

    /**
     * Starts a streamed response, which ends with {@link ResponseBodySink#finish} or {@link #abort}.
     *
     * @param contentType may be null
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

    /** Returns whether the streamed response is known to be too long to buffer; it must have started. */
    public boolean isLongResponse() {
        return stream.isLong();
    }

    /** Returns the nanoseconds since the last part of the streamed response, which must have started. */
    public long responseIdleNs() {
        return stream.idleNs();
    }

    /** Starts to measure the rate of the streamed response, which must have started. */
    public void startRateMeasurement() {
        stream.startRateMeasurement();
    }

    /**
     * Returns whether the streamed response was below the lowest accepted rate since the measurement started, or
     * is over the length limit; and starts the next measurement.
     */
    public boolean isResponseTooSlowOrTooLong() {
        return stream.isTooSlowOrTooLong();
    }

    /** Aborts a streamed response, in a way that shows the client that it is incomplete. */
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
     * @param retryAfterUs microseconds until it is best retried; 0 or less gives no advice
     */
    public void reject(long retryAfterUs) {
        FullHttpResponse response =
                ResponseFactory.newText(HttpResponseStatus.SERVICE_UNAVAILABLE, "refused, try again");
        if (retryAfterUs > 0) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, formatSeconds(retryAfterUs));
        }
        send(response);
    }

    /** Formats whole seconds as such, and others rounded up to milliseconds. */
    private static String formatSeconds(long durationUs) {
        if (durationUs % US_PER_SECOND == 0) {
            return Long.toString(durationUs / US_PER_SECOND);
        }
        double wholeMs = Math.ceil(durationUs / (double) US_PER_MS);
        return Double.toString(wholeMs / MS_PER_SECOND);
    }

    /** Responds with an error that does not say whether the request was executed. */
    public void fail(HttpResponseStatus status, String reason) {
        send(ResponseFactory.newText(status, reason));
    }

    /** Ends the exchange because the client has disconnected or its request was rejected: nothing is sent. */
    void disconnect() {
        answered = true;
        recordFinished();
        request.body().close();
        disconnectListener.run();
    }

    /** Counts the streamed response once its last byte has been written. */
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
