package tansypass.node.request;

import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.ScheduledFuture;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import tansypass.balancer.AttemptResult;
import tansypass.balancer.BalancerRequest;
import tansypass.node.admin.NodeMetrics;
import tansypass.node.balancing.BalancerExecutor;
import tansypass.node.frontend.ClientRequest;
import tansypass.node.frontend.Exchange;
import tansypass.node.http.ResponseBodySink;
import tansypass.node.http.UpstreamResponse;
import tansypass.node.logging.LogEvent;
import tansypass.node.upstream.UpstreamConnectionPool;

/**
 * A client's request, from its arrival until it has ended and none of its attempts is in flight. It owns the timer of
 * the client's deadline; once a response is being relayed, a {@link RelayDeadline} replaces that timer. Used on the
 * event loop only.
 */
final class InFlightRequest implements RequestAttempt.Listener, RelayDeadline.Listener {
    /** Receives the ends of requests. */
    interface CompletionListener {
        /** Called when the request has ended and none of its attempts is in flight; may be called again. */
        void onRequestComplete(InFlightRequest request);

        /** Called when the client has disconnected before a response, and a server may have executed the request. */
        void onExecutedRequestAbandoned(InFlightRequest request);
    }

    private static final Logger LOG = System.getLogger(InFlightRequest.class.getName());

    /** The time by which the load balancer's deadline precedes the client's. It covers the way of the response to the
     * client, late timers, and a processor that is busy just after a start. */
    private static final long DEADLINE_MARGIN_US = 25_000;
    /** Bounds the margin of a request with little time left: to the remaining time divided by this number. */
    private static final int DEADLINE_MARGIN_DIVISOR = 8;

    private final Exchange exchange;
    private final long id;
    private final CompletionListener completionListener;
    private final BalancerExecutor balancer;
    private final NodeMetrics metrics;
    private final AbortLog abortLog;
    private final List<RequestAttempt> attempts = new ArrayList<>(2);
    /** The load balancer's deadline on its clock, in microseconds; Long.MAX_VALUE until the body is complete. */
    private long deadlineUs = Long.MAX_VALUE;

    private ScheduledFuture<?> deadlineTimer;
    private int attemptsInFlight;
    private boolean ended;
    /** The deadline of the response that is being relayed; null until a response has started. */
    private RelayDeadline relayDeadline;

    /** Creates a request that has not been passed to the load balancer. */
    InFlightRequest(
            Exchange exchange,
            CompletionListener completionListener,
            BalancerExecutor balancer,
            NodeMetrics metrics,
            AbortLog abortLog) {
        this.exchange = exchange;
        this.id = exchange.request().id();
        this.completionListener = completionListener;
        this.balancer = balancer;
        this.metrics = metrics;
        this.abortLog = abortLog;
    }

    /** Returns the id that the client gave the request; it is unique among the requests in flight. */
    long id() {
        return id;
    }

    private ClientRequest clientRequest() {
        return exchange.request();
    }

    @Override
    public boolean hasRequestEnded() {
        return ended;
    }

    @Override
    public void onBalancerFailure() {
        fail(HttpResponseStatus.INTERNAL_SERVER_ERROR, "internal fault");
    }

    /** Passes the request to the load balancer, even if its body has not been received completely yet. */
    void start() {
        exchange.setDisconnectListener(this::onClientDisconnect);
        if (exchange.isComplete()) {
            startDeadline();
            balancer.execute(
                    this, b -> b.onRequest(balancer.nowUs(), toBalancerRequest(deadlineUs - balancer.nowUs())));
        } else {
            exchange.setUploadListeners(this::onUploadCompleted, this::onBodyNotReplayable);
            balancer.execute(
                    this,
                    b -> b.onUploadStarted(
                            balancer.nowUs(), toBalancerRequest(clientRequest().remainingUs())));
        }
    }

    /** Sets the deadlines of the client and of the load balancer, both relative to the arrival of the last byte. */
    private void startDeadline() {
        long arrivedUs = balancer.toUs(exchange.earliestArrivalNs());
        long remainingUs = clientRequest().remainingUs();
        deadlineUs = arrivedUs + remainingUs - Math.min(DEADLINE_MARGIN_US, remainingUs / DEADLINE_MARGIN_DIVISOR);
        deadlineTimer = balancer.scheduleAt(arrivedUs + remainingUs, this::onDeadlineExceeded);
    }

    private BalancerRequest toBalancerRequest(long remainingUs) {
        ClientRequest request = clientRequest();
        return new BalancerRequest(
                id,
                request.classIndex(),
                request.tenant(),
                Math.max(0, remainingUs),
                request.workUs(),
                request.retry());
    }

    /** Called at the last byte, if the request was passed to the load balancer before its body was complete. */
    private void onUploadCompleted() {
        startDeadline();
        attempts.forEach(RequestAttempt::restartLatency);
        balancer.execute(this, b -> b.onUploadCompleted(balancer.nowUs(), id));
    }

    private void onBodyNotReplayable() {
        balancer.execute(this, b -> b.onBodyNotReplayable(balancer.nowUs(), id));
    }

    private void onClientDisconnect() {
        if (attempts.stream().noneMatch(RequestAttempt::isDispatched)) {
            metrics.recordAbandoned();
        }
        if (exchange.isComplete() && attempts.stream().anyMatch(RequestAttempt::mayHaveExecuted)) {
            completionListener.onExecutedRequestAbandoned(this);
        }
        end();
        notifyResponseNotNeeded();
    }

    /** Notifies the load balancer that the request needs no response any more, as after a disconnect of its client. */
    private void notifyResponseNotNeeded() {
        balancer.execute(this, b -> b.onClientDisconnect(balancer.nowUs(), id));
    }

    /** Responds with an error if the load balancer has not responded by the client's deadline. This is the last
     * safeguard against a request without a response. */
    private void onDeadlineExceeded() {
        if (!ended) {
            LOG.log(
                    Level.WARNING,
                    LogEvent.REQUEST_DEADLINE_EXCEEDED.line(HexFormat.of().toHexDigits(id)));
            fail(HttpResponseStatus.GATEWAY_TIMEOUT, "out of time");
            notifyResponseNotNeeded();
        }
    }

    /** Responds with an error, because the node is stopping, unless a response has started. */
    void failIfUnanswered() {
        if (!ended && !exchange.isAnswered()) {
            fail(HttpResponseStatus.GATEWAY_TIMEOUT, "stopping");
            notifyResponseNotNeeded();
        }
    }

    /**
     * Sends the next attempt. The attempt ends as NOT_SENT if the request has ended, a deadline has passed or the body
     * can't be read from its start.
     *
     * @param attemptDeadlineUs on the load balancer's clock, in microseconds; 0 or less for the request's deadline
     */
    void sendAttempt(UpstreamConnectionPool pool, String serverId, long attemptDeadlineUs) {
        long nowUs = balancer.nowUs();
        RequestAttempt attempt = new RequestAttempt(clientRequest(), this, balancer, attempts.size(), nowUs);
        if (!attempts.isEmpty()) {
            metrics.recordRetry();
        }
        attempts.add(attempt);
        attemptsInFlight++;
        attempt.setDeadline(attemptDeadlineUs <= 0 ? deadlineUs : Math.min(attemptDeadlineUs, deadlineUs));
        if (ended || nowUs >= attempt.deadlineUs() || !clientRequest().body().canBeRead()) {
            attempt.onAttemptEnded(AttemptResult.NOT_SENT, null);
        } else {
            attempt.start(pool, serverId);
        }
    }

    /**
     * Sets the deadline of an attempt, bounded by the deadline of the request. Has no effect unless the attempt is in
     * flight.
     *
     * @param attemptDeadlineUs on the load balancer's clock, in microseconds
     */
    void setAttemptDeadline(int attempt, long attemptDeadlineUs) {
        if (isInFlight(attempt)) {
            attempts.get(attempt).setDeadline(Math.min(attemptDeadlineUs, deadlineUs));
        }
    }

    /** Aborts an attempt that the load balancer cancels. Has no effect unless the attempt is in flight. */
    void cancelAttempt(int attempt) {
        if (isInFlight(attempt)) {
            attempts.get(attempt).cancel();
        }
    }

    private boolean isInFlight(int attempt) {
        return attempt >= 0
                && attempt < attempts.size()
                && !attempts.get(attempt).hasEnded();
    }

    @Override
    public void onAttemptWritten() {
        metrics.recordAttempt();
    }

    @Override
    public ResponseBodySink startResponse(int attempt, String contentType, long length, Runnable whenWritable) {
        ResponseBodySink sink = exchange.startResponse(contentType, length, whenWritable);
        cancelDeadlineTimers();
        if (relayDeadline == null) {
            relayDeadline = new RelayDeadline(exchange, balancer, this);
        }
        relayDeadline.start(deadlineUs);
        balancer.execute(this, b -> b.onResponseStarted(balancer.nowUs(), id, attempt));
        return sink;
    }

    @Override
    public void onAttemptStalled(boolean waitingForClient) {
        metrics.recordAbort(
                waitingForClient ? NodeMetrics.AbortReason.CLIENT_STALLED : NodeMetrics.AbortReason.SERVER_STALLED);
    }

    @Override
    public void onResponseTooSlow() {
        metrics.recordAbort(NodeMetrics.AbortReason.RESPONSE_TOO_SLOW);
        abortResponse(NodeMetrics.AbortReason.RESPONSE_TOO_SLOW.name());
        end();
        notifyResponseNotNeeded();
    }

    /** Counts an attempt as ended, and ends the request if the attempt succeeded or its response was being relayed. */
    @Override
    public void onAttemptEnded(AttemptResult result, UpstreamResponse response, boolean relayed) {
        attemptsInFlight--;
        if (!ended && (result == AttemptResult.OK || relayed)) {
            if (!relayed) {
                exchange.sendResponse(response);
            } else if (result != AttemptResult.OK) {
                abortResponse(result.name());
            }
            end();
        }
        notifyIfComplete();
    }

    private void abortResponse(String reason) {
        abortLog.add(id, reason.toLowerCase(Locale.ROOT), exchange.forwardedBytes());
        exchange.abort();
    }

    /**
     * Responds that the request was not executed and may be retried. Has no effect if the request has ended.
     *
     * @param retryAfterUs microseconds after which the client should retry; 0 sends no such advice
     */
    void reject(long retryAfterUs) {
        if (!ended) {
            end();
            exchange.reject(retryAfterUs);
        }
    }

    /** Responds with an error. Has no effect if the request has ended. */
    void fail(HttpResponseStatus status, String reason) {
        if (!ended) {
            end();
            exchange.fail(status, reason);
        }
    }

    /**
     * Ends the request, which needs no further response. Attempts that still wait for a connection are not sent. One
     * that is still sending the body ends when the exchange closes the body.
     */
    void end() {
        ended = true;
        cancelDeadlineTimers();
        for (RequestAttempt attempt : new ArrayList<>(attempts)) {
            attempt.abortIfWaiting();
        }
        notifyIfComplete();
    }

    private void cancelDeadlineTimers() {
        if (deadlineTimer != null) {
            deadlineTimer.cancel(false);
        }
        if (relayDeadline != null) {
            relayDeadline.cancel();
        }
    }

    private void notifyIfComplete() {
        if (ended && attemptsInFlight == 0) {
            completionListener.onRequestComplete(this);
        }
    }
}
