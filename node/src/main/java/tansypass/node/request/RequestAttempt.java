package tansypass.node.request;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.concurrent.ScheduledFuture;
import tansypass.balancer.AttemptOutcome;
import tansypass.balancer.AttemptResult;
import tansypass.node.balancing.BalancerExecutor;
import tansypass.node.frontend.ClientRequest;
import tansypass.node.http.RequestBody;
import tansypass.node.http.ResponseBodySink;
import tansypass.node.http.UpstreamResponse;
import tansypass.node.upstream.AttemptHandler;
import tansypass.node.upstream.UpstreamAttempt;
import tansypass.node.upstream.UpstreamConnectionPool;

/**
 * One attempt of a request in flight. It enforces the attempt's deadline, whose timer it owns, and reports the
 * attempt's outcome to the load balancer. Used on the event loop only.
 */
final class RequestAttempt implements AttemptHandler {
    /** Receives the events of the attempt; implemented by its request. */
    interface Listener extends BalancerExecutor.FailureListener {
        /** Returns whether the request needs no response any more. */
        boolean hasRequestEnded();

        /** Called when the request has been written completely to a server. */
        void onAttemptWritten();

        /**
         * Starts to relay the attempt's response to the client. Called only if the request has not ended.
         *
         * @param attempt the number of the attempt
         * @return the sink for the parts of the body
         */
        ResponseBodySink startResponse(int attempt, String contentType, long length, Runnable whenWritable);

        /** Called before the end of an attempt that is aborted because the client or the server makes no progress. */
        void onAttemptStalled(boolean waitingForClient);

        /**
         * Called once, when the attempt ends, before the load balancer is notified.
         *
         * @param response the response, or null if there is none or it was not buffered
         * @param relayed whether at least a part of the response has been relayed to the client
         */
        void onAttemptEnded(AttemptResult result, UpstreamResponse response, boolean relayed);
    }

    private final ClientRequest request;
    private final Listener listener;
    private final BalancerExecutor balancer;
    private final int number;
    private long sentUs;
    private long deadlineUs;
    private ScheduledFuture<?> deadlineTimer;
    /** Null until the attempt is passed to the pool; stays null if the attempt ends as NOT_SENT before. */
    private UpstreamAttempt upstreamAttempt;

    private boolean relaying;
    /** The result; null until the attempt has ended. */
    private AttemptResult result;

    /**
     * Creates an attempt that has not been sent.
     *
     * @param number the number of the attempt, counted from 0 for each request
     * @param sentUs the time from which the latency is measured, on the load balancer's clock, in microseconds
     */
    RequestAttempt(ClientRequest request, Listener listener, BalancerExecutor balancer, int number, long sentUs) {
        this.request = request;
        this.listener = listener;
        this.balancer = balancer;
        this.number = number;
        this.sentUs = sentUs;
    }

    /** Sends the attempt to a server. Its end may be reported before this method returns. */
    void start(UpstreamConnectionPool pool, String serverId) {
        upstreamAttempt = pool.startAttempt(serverId, this);
    }

    /** Returns whether the attempt has ended. */
    boolean hasEnded() {
        return result != null;
    }

    /** Returns whether the attempt has been assigned a connection. If so, a part of it may have reached a server. */
    boolean isDispatched() {
        return upstreamAttempt != null && upstreamAttempt.isDispatched();
    }

    /** Returns whether a server may have executed the request, or may yet. */
    boolean mayHaveExecuted() {
        return isDispatched() && (result == null || !result.isKnownNotExecuted());
    }

    /** Returns the deadline on the load balancer's clock, in microseconds; Long.MAX_VALUE if there is none. */
    long deadlineUs() {
        return deadlineUs;
    }

    /** Sets the deadline, at which the attempt is aborted with TIMEOUT; it must not be after the request's deadline. */
    void setDeadline(long newDeadlineUs) {
        deadlineUs = newDeadlineUs;
        if (deadlineUs < Long.MAX_VALUE) {
            deadlineTimer = balancer.scheduleAt(deadlineUs, () -> upstreamAttempt.abort(AttemptResult.TIMEOUT));
        }
    }

    /** Restarts the measurement of the latency, because a server executes a request only once it has the last byte. */
    void restartLatency() {
        sentUs = balancer.nowUs();
    }

    /** Aborts the attempt because the load balancer has cancelled it. */
    void cancel() {
        upstreamAttempt.abort(AttemptResult.CANCELLED);
    }

    /** Aborts the attempt before it is sent, if it still waits for a connection. */
    void abortIfWaiting() {
        if (upstreamAttempt != null && !upstreamAttempt.isDispatched()) {
            upstreamAttempt.abort(AttemptResult.NOT_SENT);
        }
    }

    @Override
    public boolean isSendable() {
        return request.body().canBeRead();
    }

    @Override
    public HttpRequest createMessage() {
        return request.createUpstreamMessage(Math.min(deadlineUs - balancer.nowUs(), request.remainingUs()));
    }

    @Override
    public RequestBody requestBody() {
        return request.body();
    }

    @Override
    public boolean expiresWithConnectTimeout() {
        // No deduplication window limits an idempotent request: its retry may be sent as late as a first attempt.
        return number > 0 && !request.isIdempotent();
    }

    @Override
    public void onRequestWritten() {
        listener.onAttemptWritten();
    }

    @Override
    public ResponseBodySink onResponseStarted(String contentType, long length, Runnable whenWritable) {
        if (listener.hasRequestEnded()) {
            return ResponseBodySink.DISCARDING;
        }
        relaying = true;
        cancelDeadlineTimer();
        return listener.startResponse(number, contentType, length, whenWritable);
    }

    @Override
    public void onStalled(boolean waitingForClient) {
        listener.onAttemptStalled(waitingForClient);
    }

    @Override
    public void onAttemptEnded(AttemptResult attemptResult, UpstreamResponse response) {
        result = attemptResult;
        cancelDeadlineTimer();
        listener.onAttemptEnded(result, response, relaying);
        long latencyUs = balancer.nowUs() - sentUs;
        balancer.execute(
                listener,
                b -> b.onOutcome(
                        balancer.nowUs(),
                        new AttemptOutcome(request.id(), number, result, latencyUs, listener.hasRequestEnded(), null)));
    }

    private void cancelDeadlineTimer() {
        if (deadlineTimer != null) {
            deadlineTimer.cancel(false);
        }
    }
}
