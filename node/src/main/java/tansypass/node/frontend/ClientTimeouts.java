package tansypass.node.frontend;

import io.netty.channel.Channel;
import java.util.concurrent.TimeUnit;

/**
 * Decides when a client connection may be closed: because its request does not arrive in time, because it is idle
 * while the node is draining, or because its descriptor is needed. It measures how long the connection has been
 * waiting for a complete request, either its first one or the remainder of one that has started. It has no timer;
 * {@link ClientConnectionRegistry} sweeps the connections periodically. Used on the event loop only.
 */
final class ClientTimeouts {
    /**
     * The time within which the first request of a connection must arrive, and each request must be received. A head
     * may take 2 s, and a client that sends none must get a response within 3 s. A body may take longer if it arrives
     * at a sufficient rate.
     */
    private static final long REQUEST_TIMEOUT_MS = 2_600;
    /** The time for which a new connection without a request is left open while the node is draining. */
    private static final long FIRST_REQUEST_GRACE_MS = 400;
    /**
     * The age at which a connection's first bytes have been read if the client sent them when it connected, unless
     * the event loop has been blocked.
     */
    private static final long FIRST_READ_GRACE_MS = 50;

    private final ClientConnection connection;
    private final Channel channel;
    private boolean awaitingRequest;
    /** The start of the wait, by {@link System#nanoTime}. */
    private long waitStartNs;
    /** True if bytes of the awaited request have been received. */
    private boolean bytesReceived;

    /** Creates the timeouts of a connection that does not wait for a request yet. */
    ClientTimeouts(ClientConnection connection, Channel channel) {
        this.connection = connection;
        this.channel = channel;
    }

    /** Starts the wait for a request. Has no effect if it has started already. */
    void startWaiting() {
        if (!awaitingRequest) {
            awaitingRequest = true;
            waitStartNs = System.nanoTime();
        }
    }

    /** Restarts the measurement after a response has been sent. */
    void onResponseSent() {
        waitStartNs = System.nanoTime();
    }

    /**
     * Records that bytes of a request have been received, and starts the wait for its end if it has not started
     * already.
     */
    void onBytesReceived() {
        startWaiting();
        bytesReceived = true;
    }

    /** Ends the wait: the request is complete. */
    void onRequestComplete() {
        awaitingRequest = false;
        bytesReceived = false;
    }

    /**
     * Returns whether the connection can be closed to free its descriptor: no request is complete or in flight, no
     * response is being written, and the bytes that the client may have sent when it connected have been read.
     */
    boolean canBeReclaimed(long nowNs) {
        return connection.hasNoCompleteRequest()
                && (bytesReceived || waitedNs(nowNs) >= TimeUnit.MILLISECONDS.toNanos(FIRST_READ_GRACE_MS));
    }

    /**
     * Returns the time of the wait, less the time that the bytes received so far would take at the lowest accepted
     * rate; 0 if the connection is not waiting for a request.
     */
    long delayNs(long nowNs) {
        if (!awaitingRequest) {
            return 0;
        }
        IncomingRequest incoming = connection.reader().incomingOrNull();
        long receivedBytes = incoming == null ? 0 : incoming.receivedBytes;
        return waitedNs(nowNs) - TimeUnit.SECONDS.toNanos(receivedBytes) / IncomingRequest.MIN_BYTES_PER_SECOND;
    }

    /** Returns whether the awaited request has timed out and is not arriving at a sufficient rate. */
    boolean isOverdue(long nowNs) {
        if (!awaitingRequest
                || connection.isClosing()
                || connection.writer().hasUnwrittenResponse()
                || connection.hasToQueueInput()
                || waitedNs(nowNs) < TimeUnit.MILLISECONDS.toNanos(REQUEST_TIMEOUT_MS)) {
            return false;
        }
        IncomingRequest incoming = connection.reader().incomingOrNull();
        return incoming == null || incoming.isTooSlow(nowNs, channel.config().isAutoRead());
    }

    /**
     * Returns whether the request being received must get its final response now: its web server reads it so slowly
     * that the client's time may have run out while the last bytes wait on the connection.
     */
    boolean isOutOfTime(long nowNs) {
        IncomingRequest incoming = connection.reader().incomingOrNull();
        return incoming != null && !connection.isClosing() && incoming.mayBeOutOfTime(nowNs);
    }

    /** Returns whether no request is in flight and nothing has been received since the last response. */
    boolean isIdle() {
        return connection.hasNoCompleteRequest() && connection.reader().incomingOrNull() == null && !bytesReceived;
    }

    /**
     * Returns whether the connection is idle and, if it is new, has had the grace period for its first request.
     * Closing it then loses no request, unless one is on its way at this moment.
     */
    boolean isIdleAfterGrace(long nowNs) {
        return isIdle()
                && (!awaitingRequest || waitedNs(nowNs) >= TimeUnit.MILLISECONDS.toNanos(FIRST_REQUEST_GRACE_MS));
    }

    private long waitedNs(long nowNs) {
        return nowNs - waitStartNs;
    }
}
