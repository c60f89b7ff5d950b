package tansypass.node.upstream;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import tansypass.balancer.AttemptResult;
import tansypass.node.http.UpstreamResponse;

/** One request to one server, either waiting for a connection or dispatched on one. Used on the event loop only. */
public final class UpstreamAttempt {
    private final UpstreamServer server;
    private final AttemptHandler handler;
    private UpstreamConnection connection;
    private ScheduledFuture<?> waitTimeout;
    /** The {@link System#nanoTime} at which the wait for a connection times out. */
    private long waitDeadlineNanos;

    private boolean ended;

    /** Creates an attempt. The server is null if it is unknown; the attempt can then only be ended. */
    UpstreamAttempt(UpstreamServer server, AttemptHandler handler) {
        this.server = server;
        this.handler = handler;
    }

    /** Returns whether the attempt has been assigned a connection; a part of it may then have reached a server. */
    public boolean isDispatched() {
        return connection != null;
    }

    /**
     * Ends the attempt now, unless it has ended already. If the request was not written completely, it cannot have been
     * executed: the attempt then ends as NOT_SENT if it was still waiting for a connection or is cancelled, which says
     * nothing about the server, and as CONNECT_FAILED otherwise.
     *
     * @param result the result of a request that was written completely
     */
    public void abort(AttemptResult result) {
        if (ended) {
            return;
        }
        if (connection == null) {
            server.removeWaiting(this);
            end(AttemptResult.NOT_SENT, null);
            return;
        }
        boolean written = connection.abortAttempt();
        end(written ? result : resultOfUnwritten(result), null);
    }

    private static AttemptResult resultOfUnwritten(AttemptResult result) {
        return result == AttemptResult.CANCELLED ? AttemptResult.NOT_SENT : AttemptResult.CONNECT_FAILED;
    }

    /**
     * Waits for a connection to the server. Each attempt has its own timeout, because a new connection goes to the
     * first attempt in the queue: without the timeout, an attempt whose own connect has failed would wait for the
     * connects of later attempts.
     *
     * @param timeoutMs the connect timeout in milliseconds, after which the attempt ends with CONNECT_FAILED
     */
    void waitForConnection(long timeoutMs) {
        server.addWaiting(this);
        waitDeadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        waitTimeout = server.loop().schedule(this::failIfWaiting, timeoutMs, TimeUnit.MILLISECONDS);
    }

    /** Returns whether a waiting attempt must not be sent any more. The timer of its wait may not have run yet. */
    boolean hasExpired(long nowNanos) {
        return handler.expiresWithConnectTimeout() && nowNanos - waitDeadlineNanos >= 0;
    }

    /** Ends the attempt with CONNECT_FAILED if it still waits for a connection. */
    void failIfWaiting() {
        if (server.removeWaiting(this)) {
            end(AttemptResult.CONNECT_FAILED, null);
        }
    }

    private void cancelWaitTimeout() {
        if (waitTimeout != null) {
            waitTimeout.cancel(false);
            waitTimeout = null;
        }
    }

    /** Returns the handler, which supplies the request and receives the events. */
    AttemptHandler handler() {
        return handler;
    }

    /** Assigns the connection on which the attempt is sent. */
    void assignConnection(UpstreamConnection assignedConnection) {
        connection = assignedConnection;
        cancelWaitTimeout();
    }

    /** Ends the attempt and reports its result. Only the first call has an effect. */
    void end(AttemptResult result, UpstreamResponse response) {
        if (!ended) {
            ended = true;
            cancelWaitTimeout();
            handler.onAttemptEnded(result, response);
        }
    }
}
