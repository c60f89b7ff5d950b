package tansypass.node.upstream;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import tansypass.balancer.AttemptResult;
import tansypass.node.http.BufferLimiters;
import tansypass.node.http.ProgressTimeout;
import tansypass.node.http.RequestBodyWriter;
import tansypass.node.http.ResponseBodySink;
import tansypass.node.http.ResponseReader;
import tansypass.node.http.StreamWindow;
import tansypass.node.http.UpstreamResponse;

/**
 * The exchange of one attempt's request and response on a connection. It writes the request, reads or relays the
 * response, and owns the timers of their progress. One object serves all exchanges of a connection, one after another.
 * Used on the channel's event loop only.
 */
final class UpstreamExchange {
    /** The time for which a response of unknown length is buffered before it is relayed, because it may be short. Also
     * the time to wait for the body of a rejection or an error; without the body the connection cannot be reused. */
    private static final long BUFFERING_TIMEOUT_MS = 50;
    /** The stall timeout while nothing is read from the server, because the client accepts nothing. */
    private static final long CLIENT_STALL_TIMEOUT_MS = 10_000;

    /** Receives the end of exchanges; implemented by the connection. */
    interface Listener {
        /**
         * Called when the response is complete, before it is reported. A reusable connection may start another exchange
         * during the call.
         *
         * @param reusable whether the connection can be reused
         */
        void onExchangeComplete(boolean reusable);

        /** Called when the connection is broken or has received data that belongs to no response. */
        void onConnectionBroken();
    }

    private final Channel channel;
    private final EventLoop loop;
    private final BufferLimiters limiters;
    private final Listener listener;
    private final ProgressTimeout stallTimeout;
    /** The window for the bodies of requests. */
    private final StreamWindow window;
    /** The attempt in flight; null while the connection is idle. */
    private UpstreamAttempt attempt;

    /** True if the request's last byte has been written to the socket. */
    private boolean requestWritten;
    /** Writes the body after the request's head; null if the message included the body. */
    private RequestBodyWriter bodyWriter;

    private ResponseReader response;
    /** True while nothing is read from the server until the client accepts more. */
    private boolean waitingForClient;

    /** The result of a response that is complete but not yet reported; null otherwise. */
    private AttemptResult unreportedResult;

    /** True if the connection can be reused after the current response. */
    private boolean reusable;

    private ScheduledFuture<?> bufferingTimer;

    /** Creates the object for the exchanges on a channel. None is in progress. */
    UpstreamExchange(Channel channel, EventLoop loop, BufferLimiters limiters, Listener listener) {
        this.channel = channel;
        this.loop = loop;
        this.limiters = limiters;
        this.listener = listener;
        window = new StreamWindow(channel, limiters.direct());
        stallTimeout = new ProgressTimeout(loop, this::hasReceiverAdvanced, this::onStall);
    }

    /** Returns whether an exchange is in progress. */
    boolean isActive() {
        return attempt != null;
    }

    /** Returns whether a response is being relayed as it arrives. */
    boolean isRelaying() {
        return attempt != null && response.isStreaming();
    }

    /** Starts an exchange by writing the attempt's request, which must be sendable. No exchange may be in progress. */
    void start(UpstreamAttempt newAttempt) {
        attempt = newAttempt;
        requestWritten = false;
        bodyWriter = null;
        waitingForClient = false;
        response = new ResponseReader(limiters.heap());
        unreportedResult = null;
        HttpRequest message = newAttempt.handler().createMessage();
        if (message instanceof FullHttpRequest) {
            reportWhenWritten(newAttempt, channel.writeAndFlush(message));
            return;
        }
        channel.write(message);
        bodyWriter = new RequestBodyWriter(
                channel, window, newAttempt.handler().requestBody(), stallTimeout, new BodyListener(newAttempt));
        stallTimeout.start(UpstreamConnectionPool.STALL_TIMEOUT_MS);
        bodyWriter.start();
    }

    /** Receives the end of an attempt's body. */
    private final class BodyListener implements RequestBodyWriter.Listener {
        private final UpstreamAttempt attemptOfBody;

        BodyListener(UpstreamAttempt attemptOfBody) {
            this.attemptOfBody = attemptOfBody;
        }

        @Override
        public void onLastWritten(ChannelFuture lastWrite) {
            reportWhenWritten(attemptOfBody, lastWrite);
        }

        /** Closes the connection, because the server would otherwise wait for the rest of the request. */
        @Override
        public void onBodyClosed() {
            attemptOfBody.abort(AttemptResult.CANCELLED);
        }
    }

    /** Reports to the attempt's handler when the last byte has been written to the socket, or ends the attempt if the
     * write fails. A request whose last write has failed was not sent completely, since Netty never repeats a write. */
    private void reportWhenWritten(UpstreamAttempt writtenAttempt, ChannelFuture lastWrite) {
        stopTimers();
        lastWrite.addListener(done -> {
            window.updateUsage();
            if (attempt != writtenAttempt) {
                return;
            }
            if (done.isSuccess()) {
                requestWritten = true;
                writtenAttempt.handler().onRequestWritten();
            } else {
                attempt = null;
                response.close();
                channel.close();
                writtenAttempt.end(AttemptResult.CONNECT_FAILED, null);
            }
        });
    }

    /**
     * Detaches the attempt and closes the channel, which cannot be reused because the response may still arrive.
     *
     * @return whether the request had been written completely
     */
    boolean abort() {
        attempt = null;
        stopTimers();
        response.close();
        channel.close();
        return requestWritten;
    }

    /** Continues to write the request's body if the channel is writable again. */
    void onWritabilityChanged() {
        window.updateUsage();
        if (bodyWriter != null && channel.isWritable()) {
            bodyWriter.writeAvailable();
        }
    }

    /** Processes a decoded part of the response. The caller releases the part. */
    void read(HttpObject message) {
        if (attempt == null || unreportedResult != null) {
            // Data after a malformed response, or a second response directly after the first.
            reusable = false;
            listener.onConnectionBroken();
            return;
        }
        switch (response.read(message)) {
            case MALFORMED -> fail();
            case COMPLETE -> completeResponse();
            case LONG -> startRelay();
            default -> handlePartialResponse();
        }
    }

    /** Returns whether a successful response has arrived before the body was written completely. Such a response cannot
     * belong to the request. */
    private boolean isPremature() {
        return bodyWriter != null && !requestWritten && response.isSuccess();
    }

    private void completeResponse() {
        if (isPremature()) {
            fail();
            return;
        }
        unreportedResult = resultOfResponse();
        reusable = response.canReuseConnection() && requestWritten;
    }

    private AttemptResult resultOfResponse() {
        if (response.isSuccess()) {
            return AttemptResult.OK;
        }
        return response.isRejected() ? AttemptResult.OVERLOADED : AttemptResult.ERROR;
    }

    private void handlePartialResponse() {
        if (response.isStreaming()) {
            stallTimeout.recordProgress();
            pauseReadingIfFull();
        } else if (response.isLengthUnknown() && bufferingTimer == null) {
            bufferingTimer = scheduleBufferingTimeout(this::startRelay);
        } else if (response.isUnsuccessful() && bufferingTimer == null) {
            bufferingTimer = scheduleBufferingTimeout(this::completeRejection);
        }
    }

    private ScheduledFuture<?> scheduleBufferingTimeout(Runnable action) {
        return loop.schedule(action, BUFFERING_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    /** Starts to relay a response that is or may be long: first the buffered parts, then those that follow. */
    private void startRelay() {
        if (isPremature()) {
            fail();
            return;
        }
        stopTimers();
        response.streamTo(attempt.handler()
                .onResponseStarted(response.contentTypeOrNull(), response.contentLength(), this::resumeReading));
        stallTimeout.start(UpstreamConnectionPool.STALL_TIMEOUT_MS);
        pauseReadingIfFull();
    }

    /** Completes a rejection or an error whose body has not arrived in time; its head is sufficient. */
    private void completeRejection() {
        completeResponse();
        reportResponse();
    }

    private void pauseReadingIfFull() {
        if (!response.sinkOrNull().isWritable()) {
            waitingForClient = true;
            channel.config().setAutoRead(false);
            stallTimeout.changeTimeout(CLIENT_STALL_TIMEOUT_MS);
        }
    }

    private void resumeReading() {
        waitingForClient = false;
        stallTimeout.changeTimeout(UpstreamConnectionPool.STALL_TIMEOUT_MS);
        channel.config().setAutoRead(true);
    }

    /** Returns whether the side that has to accept bytes has done so since the last call. */
    private boolean hasReceiverAdvanced() {
        if (waitingForClient) {
            return response.sinkOrNull().hasAdvanced();
        }
        return bodyWriter != null && !requestWritten && window.hasAdvanced();
    }

    private void onStall() {
        if (bodyWriter != null && !requestWritten && channel.isWritable()) {
            // The server accepts more, but the client has sent no more of the body. The frontend checks the client's
            // rate.
            stallTimeout.start(UpstreamConnectionPool.STALL_TIMEOUT_MS);
        } else {
            attempt.handler().onStalled(waitingForClient);
            attempt.abort(AttemptResult.TIMEOUT);
        }
    }

    private void stopTimers() {
        stallTimeout.stop();
        if (bodyWriter != null && !requestWritten) {
            bodyWriter.close();
        }
        if (bufferingTimer != null) {
            bufferingTimer.cancel(false);
            bufferingTimer = null;
        }
    }

    /** Reports a complete response only at the end of the read, because surplus data read with the response would make
     * the connection unusable. Flushes a response that is being relayed. */
    void onReadComplete() {
        if (unreportedResult != null) {
            reportResponse();
        } else if (isRelaying()) {
            response.sinkOrNull().flush();
        }
    }

    /** Releases or closes the connection, and reports the complete response. */
    private void reportResponse() {
        UpstreamAttempt completed = attempt;
        AttemptResult result = unreportedResult;
        ResponseBodySink sink = response.sinkOrNull();
        UpstreamResponse buffered = sink == null ? response.takeBuffered() : null;
        stopTimers();
        response.close();
        attempt = null;
        unreportedResult = null;
        listener.onExchangeComplete(reusable);
        if (sink != null) {
            sink.finish();
        }
        completed.end(result, buffered);
    }

    /** Ends the attempt, if any, because the connection or the response is broken. The attempt ends as CONNECT_FAILED
     * only if its request was not written completely, because only then has the server certainly not executed it. */
    private void fail() {
        UpstreamAttempt failed = attempt;
        if (failed == null) {
            listener.onConnectionBroken();
            return;
        }
        attempt = null;
        stopTimers();
        response.close();
        listener.onConnectionBroken();
        failed.end(requestWritten ? AttemptResult.RESET : AttemptResult.CONNECT_FAILED, null);
    }

    /** Ends the exchange, if any, because the channel has ended. A complete response is still reported. */
    void onChannelEnd() {
        window.updateUsage();
        if (unreportedResult != null) {
            reusable = false;
            reportResponse();
        } else {
            fail();
        }
    }
}
