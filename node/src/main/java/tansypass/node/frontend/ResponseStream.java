package tansypass.node.frontend;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import tansypass.node.http.ResponseBodySink;
import tansypass.node.http.ResponseReader;

/** A streamed response on its way to the client, with a measurement of its rate. Used on the event loop only. */
final class ResponseStream implements ResponseBodySink {
    /**
     * The longest time for the remainder of a response with a declared length at its present rate: as long as the
     * longest message takes at 64 kB/s, the rate of the slowest clients.
     */
    private static final long MAX_REMAINING_NS = TimeUnit.SECONDS.toNanos(660);

    /** Smaller parts are gathered: each part that is written costs several buffers and a system call's argument. */
    private static final int MIN_PART_BYTES = 1_024;

    private static final int MAX_GATHERED_BYTES = 8 * 1024;

    private final Exchange exchange;
    private final ResponseWriter writer;
    private final LongSupplier clock;
    private final long startNs;
    /** The declared length, or -1 if there is none. */
    private final long declaredLengthBytes;
    /** The declared length or, if that is exceeded or unknown, the number of bytes forwarded so far. */
    private long knownLengthBytes;

    /** Small parts that have not been passed to the writer yet, on the heap; null if there are none. */
    private ByteBuf gathered;

    private long forwardedBytes;
    private long lastPartNs;
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
        this(exchange, writer, lengthBytes, System::nanoTime);
    }

    /** Creates a stream with another clock, in nanoseconds. */
    ResponseStream(Exchange exchange, ResponseWriter writer, long lengthBytes, LongSupplier clock) {
        this.exchange = exchange;
        this.writer = writer;
        this.clock = clock;
        startNs = clock.getAsLong();
        lastPartNs = startNs;
        declaredLengthBytes = lengthBytes;
        knownLengthBytes = lengthBytes;
    }

    @Override
    public void write(ByteBuf part) {
        lastPartNs = clock.getAsLong();
        forwardedBytes += part.readableBytes();
        knownLengthBytes = Math.max(knownLengthBytes, forwardedBytes);
        if (part.readableBytes() >= MIN_PART_BYTES) {
            writeGathered();
            writer.writePart(part);
            return;
        }
        if (gathered == null) {
            gathered = Unpooled.buffer(part.readableBytes());
        }
        gathered.writeBytes(part);
        part.release();
        if (gathered.readableBytes() >= MAX_GATHERED_BYTES) {
            writeGathered();
        }
    }

    private void writeGathered() {
        if (gathered != null) {
            ByteBuf part = gathered;
            gathered = null;
            writer.writePart(part);
        }
    }

    @Override
    public void flush() {
        writeGathered();
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
            writeGathered();
            exchange.onStreamFinished(writer.finishResponse());
        }
    }

    /** Returns whether the response is known to be too long to be buffered. */
    boolean isLong() {
        return knownLengthBytes > ResponseReader.MAX_BUFFERED_BYTES;
    }

    /** Returns the number of bytes forwarded so far. */
    long forwardedBytes() {
        return forwardedBytes;
    }

    /** Returns the time since the last part. */
    long idleNs() {
        return clock.getAsLong() - lastPartNs;
    }

    /** Returns whether the length is declared. */
    boolean hasDeclaredLength() {
        return declaredLengthBytes >= 0;
    }

    /**
     * Returns how long the mean rate since the start stays at or above the lowest accepted rate if nothing more is
     * received; negative if it is below. A server that sends large parts with pauses in between has a sufficient rate.
     */
    long meanRateSufficientForNs() {
        return TimeUnit.SECONDS.toNanos(forwardedBytes) / IncomingRequest.MIN_BYTES_PER_SECOND
                - (clock.getAsLong() - startNs);
    }

    /** Starts a measurement of the rate. */
    void startRateMeasurement() {
        windowStartBytes = forwardedBytes;
        windowStartNs = clock.getAsLong();
        clientFullInWindow = !writer.isWritable();
    }

    /**
     * Returns whether the response has been below the lowest accepted rate since the measurement started although the
     * client was ready for more all the time, or is over the length limit. Below that rate, a response with a declared
     * length may continue if it will end. Starts the next measurement.
     */
    boolean isTooSlowOrTooLong() {
        long elapsedNs = clock.getAsLong() - windowStartNs;
        long receivedBytes = forwardedBytes - windowStartBytes;
        boolean slow = !clientFullInWindow
                && TimeUnit.SECONDS.toNanos(receivedBytes) < IncomingRequest.MIN_BYTES_PER_SECOND * elapsedNs
                && !willEnd(receivedBytes, elapsedNs);
        startRateMeasurement();
        return slow || forwardedBytes > RequestHeadValidator.MAX_BODY_BYTES;
    }

    /** Returns whether the remainder of a declared length arrives in a bounded time at the given rate. */
    private boolean willEnd(long receivedBytes, long elapsedNs) {
        double remainingBytes = declaredLengthBytes - forwardedBytes;
        return declaredLengthBytes >= 0 && remainingBytes * elapsedNs <= (double) receivedBytes * MAX_REMAINING_NS;
    }
}
