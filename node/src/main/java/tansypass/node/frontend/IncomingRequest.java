package tansypass.node.frontend;

import io.netty.handler.codec.http.HttpRequest;
import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import tansypass.node.http.BadRequestException;

/** A request whose head has been received and whose end has not been processed. Used on the event loop only. */
final class IncomingRequest {
    /** The lowest accepted rate at which a client sends or reads a body. */
    static final long MIN_BYTES_PER_SECOND = 16 * 1024;

    /** The shortest interval over which the rate is measured. */
    private static final long RATE_WINDOW_MS = 700;

    /** The heap memory of a header field besides its characters: objects for name and value, an entry in each copy. */
    private static final int FIELD_OVERHEAD_BYTES = 256;

    final HttpRequest head;
    /** The request's exchange; null if the request is invalid or this node responds to it itself. */
    Exchange exchange;
    /** The error for the response if the request is invalid, or null. */
    BadRequestException failure;
    /** True if the last part has been received. {@link RequestReader} processes it only later. */
    boolean complete;
    /** True if reading from the client has ever been suspended during this request. */
    boolean readingSuspended;
    /** True if reading has been suspended since the present measurement started. */
    private boolean suspendedInWindow;

    long receivedBytes;
    /** Null until reading has been suspended for the first time. */
    private UnreadInputEstimator unreadInput;

    private long windowStartBytes;
    private long windowStartNs = System.nanoTime();

    /** Creates a request of which no body has been received. */
    IncomingRequest(HttpRequest head) {
        this.head = head;
    }

    /**
     * Estimates the heap memory of the head, in bytes. Its fields are held several times, in copies that share names
     * and values.
     */
    int headMemoryBytes() {
        int bytes = head.uri().length();
        Iterator<Map.Entry<CharSequence, CharSequence>> fields = head.headers().iteratorCharSequence();
        while (fields.hasNext()) {
            Map.Entry<CharSequence, CharSequence> field = fields.next();
            bytes += FIELD_OVERHEAD_BYTES
                    + field.getKey().length()
                    + field.getValue().length();
        }
        return bytes;
    }

    /** Records that reading from the client is suspended until the server has accepted more of the body. */
    void suspendReading() {
        readingSuspended = true;
        suspendedInWindow = true;
        if (unreadInput == null) {
            unreadInput = new UnreadInputEstimator();
        }
        unreadInput.onSuspended(receivedBytes, System.nanoTime());
    }

    /** Records that a part of the body has been received. */
    void receive(int bytes) {
        receivedBytes += bytes;
        if (unreadInput != null) {
            unreadInput.onReceived(receivedBytes, System.nanoTime());
        }
    }

    /** Records that the connection has been read until nothing was left. */
    void onConnectionDrained() {
        if (unreadInput != null) {
            unreadInput.onDrained();
        }
    }

    /**
     * Returns the earliest time at which the last byte may have been on the connection.
     *
     * @param latestNs the result if it has not waited there for reading to resume
     */
    long earliestArrivalNs(long latestNs) {
        if (unreadInput == null) {
            return latestNs;
        }
        long declaredBytes = exchange == null ? 0 : exchange.request().declaredLengthBytes();
        return unreadInput.earliestArrivalNs(Math.max(receivedBytes, declaredBytes), latestNs);
    }

    /**
     * Returns whether the time of the client may have run out, because the last byte may have waited on the connection
     * for that long.
     */
    boolean mayBeOutOfTime(long nowNs) {
        return exchange != null
                && !complete
                && nowNs - earliestArrivalNs(nowNs)
                        >= TimeUnit.MICROSECONDS.toNanos(exchange.request().remainingUs());
    }

    /**
     * Returns whether the body has been received below the lowest accepted rate, and starts the next measurement.
     * While the present measurement is shorter than its window, returns false and continues that measurement. The rate
     * does not depend on the client alone if reading was suspended at any time since the start of the measurement.
     *
     * @param nowNs the present {@link System#nanoTime}
     * @param reading whether the connection is being read
     */
    boolean isTooSlow(long nowNs, boolean reading) {
        long elapsedNs = nowNs - windowStartNs;
        if (elapsedNs < TimeUnit.MILLISECONDS.toNanos(RATE_WINDOW_MS)) {
            return false;
        }
        boolean slow = reading
                && !suspendedInWindow
                && TimeUnit.SECONDS.toNanos(receivedBytes - windowStartBytes) < MIN_BYTES_PER_SECOND * elapsedNs;
        windowStartBytes = receivedBytes;
        windowStartNs = nowNs;
        suspendedInWindow = !reading;
        return slow;
    }
}
