package tansypass.node.frontend;

import java.util.ArrayDeque;
import java.util.Deque;
import tansypass.node.http.ConnectionBufferLimits;

/**
 * Estimates since when the last byte of a request may have been on the connection without having been read. While
 * reading is suspended, the kernel's buffers on both sides hold what the client sends, and nothing shows whether that
 * is all of the request. At most {@link #MAX_UNREAD_BYTES} are assumed to be held there. All times are in nanoseconds
 * by {@link System#nanoTime}. Used on the event loop only.
 */
final class UnreadInputEstimator {
    /** The size to which Linux lets the send buffer of a client's socket grow by default. */
    private static final long CLIENT_SEND_BUFFER_BYTES = 4 << 20;
    /** The most bytes that are assumed to wait in the buffers of both sockets. Linux doubles the size of ours. */
    static final long MAX_UNREAD_BYTES = CLIENT_SEND_BUFFER_BYTES + 2L * ConnectionBufferLimits.SOCKET_BUFFER_BYTES;
    /** The distance of two samples, by which the estimate may be too early. */
    private static final long SAMPLE_INTERVAL_BYTES = 64 * 1024;

    /** The number of bytes that had been received at a time. */
    private record Sample(long receivedBytes, long timeNs) {}

    /** Samples since the connection had last been read until nothing was left, the oldest first. */
    private final Deque<Sample> samples = new ArrayDeque<>(0);

    /** Records that reading is suspended. */
    void onSuspended(long receivedBytes, long nowNs) {
        if (samples.isEmpty()) {
            samples.add(new Sample(receivedBytes, nowNs));
        }
    }

    /** Records that bytes have been received, which may have waited. */
    void onReceived(long receivedBytes, long nowNs) {
        if (!samples.isEmpty() && receivedBytes - samples.peekLast().receivedBytes >= SAMPLE_INTERVAL_BYTES) {
            samples.add(new Sample(receivedBytes, nowNs));
        }
        dropBefore(receivedBytes);
    }

    /** Records that the connection has been read until nothing was left, so that the client has not sent more. */
    void onDrained() {
        samples.clear();
    }

    /**
     * Returns the earliest time at which the last byte may have been on the connection.
     *
     * @param minLengthBytes the least length that the request can have
     * @param latestNs the result if the bytes received last have not waited
     */
    long earliestArrivalNs(long minLengthBytes, long latestNs) {
        dropBefore(minLengthBytes);
        return samples.isEmpty() ? latestNs : Math.min(latestNs, samples.peekFirst().timeNs);
    }

    /** Drops the samples from times at which the rest of so many bytes did not fit into the buffers. */
    private void dropBefore(long lengthBytes) {
        while (!samples.isEmpty() && samples.peekFirst().receivedBytes + MAX_UNREAD_BYTES < lengthBytes) {
            samples.remove();
        }
    }
}
