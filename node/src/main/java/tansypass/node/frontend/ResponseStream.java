package tansypass.node.frontend;

import io.netty.buffer.ByteBuf;
import java.util.concurrent.TimeUnit;
import tansypass.node.http.ResponseBodySink;
import tansypass.node.http.ResponseReader;

/** A streamed response on its way to the client, with a measurement of its rate. Used on the event loop only. */
final class ResponseStream implements ResponseBodySink {
    private final Exchange exchange;
    private final ResponseWriter writer;
    /** The declared length or, if that is exceeded or unknown, the number of bytes forwarded so far. */
    private long knownLengthBytes;

    private long forwardedBytes;
    private long lastPartNs = System.nanoTime();
    private long windowStartBytes;
    private long windowStartNs;
    /** True if the client has not accepted more at some time since the present measurement started. */
    private boolean clientFullInWindow;

    /**
     * Creates a stream whose head is about to be written.
     *
     * @param lengthBytes the declared length, or -1 if there is none
     */
    ResponseStream(Exchange exchange, ResponseWriter writer, long lengthBytes) {
        this.exchange = exchange;
        this.writer = writer;
        knownLengthBytes = lengthBytes;
    }

    @Override
    public void write(ByteBuf part) {
        lastPartNs = System.nanoTime();
        forwardedBytes += part.readableBytes();
        knownLengthBytes = Math.max(knownLengthBytes, forwardedBytes);
        writer.writePart(part);
    }

    @Override
    public void flush() {
        writer.flush();
    }

    @Override
    public boolean isWritable() {
        boolean writable = writer.isWritable();
        clientFullInWindow |= !writable;
        return writable;
    }

    @Override
    public boolean hasAdvanced() {
        return writer.hasAdvanced();
    }

    @Override
    public void finish() {
        if (writer.isStreaming()) {
            exchange.onStreamFinished(writer.finishResponse());
        }
    }

    /** Returns whether the response is known to be too long to be buffered. */
    boolean isLong() {
        return knownLengthBytes > ResponseReader.MAX_BUFFERED_BYTES;
    }

    /** Returns the time since the last part. */
    long idleNs() {
        return System.nanoTime() - lastPartNs;
    }

    /** Starts a measurement of the rate. */
    void startRateMeasurement() {
        windowStartBytes = forwardedBytes;
        windowStartNs = System.nanoTime();
        clientFullInWindow = !writer.isWritable();
    }

    /**
     * Returns whether the response has been below the lowest accepted rate since the measurement started although the
     * client was ready for more all the time, or is over the length limit. Starts the next measurement.
     */
    boolean isTooSlowOrTooLong() {
        long elapsedNs = System.nanoTime() - windowStartNs;
        boolean slow = !clientFullInWindow
                && TimeUnit.SECONDS.toNanos(forwardedBytes - windowStartBytes)
                        < IncomingRequest.MIN_BYTES_PER_SECOND * elapsedNs;
        startRateMeasurement();
        return slow || forwardedBytes > RequestHeadValidator.MAX_BODY_BYTES;
    }
}
