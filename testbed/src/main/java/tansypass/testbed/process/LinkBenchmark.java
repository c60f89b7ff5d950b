package tansypass.testbed.process;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.HdrHistogram.Histogram;

/**
 * Measures the throughput and the round-trip time of a path to a receiver. The receiver acknowledges messages that
 * end with a marker and discards all others. The methods block, so they must not be called on an event loop.
 */
final class LinkBenchmark {
    private static final long TRANSFER_BYTES = 256L << 20;
    private static final int CHUNK_BYTES = 1 << 16;
    private static final int ROUND_TRIPS = 20_000;
    private static final long MAX_ROUND_TRIP_NS = 60_000_000_000L;
    private static final int HISTOGRAM_DIGITS = 3;
    private static final int MEDIAN_PERCENTILE = 50;
    private static final int TIMEOUT_S = 30;
    private static final double NS_PER_S = 1e9;
    private static final double NS_PER_US = 1e3;
    /** The last byte of a message that the receiver acknowledges; also the acknowledgement itself. */
    private static final byte MARKER = 1;

    private final EventLoop senderLoop;
    private final Channel receiver;

    /** Opens a receiver on one event loop; the senders run on the other one. */
    LinkBenchmark(EventLoop senderLoop, EventLoop receiverLoop) throws IOException {
        this.senderLoop = senderLoop;
        receiver = Channels.listen(
                receiverLoop,
                new InetSocketAddress("127.0.0.1", 0),
                channel -> channel.pipeline().addLast(new Acknowledger()));
    }

    /** Returns the address at which the receiver listens. */
    InetSocketAddress receiverAddress() {
        return Channels.localAddress(receiver);
    }

    /** Measures the throughput to the receiver through this address, in bytes per second. */
    double measureBytesPerS(InetSocketAddress address)
            throws InterruptedException, ExecutionException, TimeoutException {
        CompletableFuture<Long> acknowledgedNs = new CompletableFuture<>();
        long startNs = System.nanoTime();
        Channel channel = connect(address, new BulkSender(acknowledgedNs));
        double elapsedS = (acknowledgedNs.get(TIMEOUT_S, TimeUnit.SECONDS) - startNs) / NS_PER_S;
        channel.close().sync();
        return TRANSFER_BYTES / elapsedS;
    }

    /** Measures the median round-trip time to the receiver through this address, in microseconds. */
    double measureMedianRoundTripUs(InetSocketAddress address)
            throws InterruptedException, ExecutionException, TimeoutException {
        CompletableFuture<Double> medianUs = new CompletableFuture<>();
        Channel channel = connect(address, new RoundTripTimer(medianUs));
        double median = medianUs.get(TIMEOUT_S, TimeUnit.SECONDS);
        channel.close().sync();
        return median;
    }

    private Channel connect(InetSocketAddress address, ChannelInboundHandlerAdapter handler)
            throws InterruptedException {
        return Channels.connect(
                        senderLoop,
                        address,
                        (int) TimeUnit.SECONDS.toMillis(TIMEOUT_S),
                        true,
                        channel -> channel.pipeline().addLast(handler))
                .sync()
                .channel();
    }

    /** Answers messages that end with {@link #MARKER} by a marker, and discards all others. */
    private static final class Acknowledger extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            ByteBuf chunk = (ByteBuf) message;
            boolean isMarked = chunk.getByte(chunk.writerIndex() - 1) == MARKER;
            chunk.release();
            if (isMarked) {
                ctx.writeAndFlush(Unpooled.wrappedBuffer(new byte[] {MARKER}));
            }
        }
    }

    /** Sends a fixed number of bytes as fast as the connection accepts them; the last byte is a marker. */
    private static final class BulkSender extends ChannelInboundHandlerAdapter {
        private final CompletableFuture<Long> acknowledgedNs;
        private long remainingBytes = TRANSFER_BYTES;

        BulkSender(CompletableFuture<Long> acknowledgedNs) {
            this.acknowledgedNs = acknowledgedNs;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            sendWhileWritable(ctx);
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            sendWhileWritable(ctx);
        }

        private void sendWhileWritable(ChannelHandlerContext ctx) {
            while (remainingBytes > 0 && ctx.channel().isWritable()) {
                int size = (int) Math.min(CHUNK_BYTES, remainingBytes);
                remainingBytes -= size;
                ByteBuf chunk = ctx.alloc().buffer(size).writeZero(size);
                if (remainingBytes == 0) {
                    chunk.setByte(size - 1, MARKER);
                }
                ctx.write(chunk);
            }
            ctx.flush();
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            ((ByteBuf) message).release();
            acknowledgedNs.complete(System.nanoTime());
        }
    }

    /** Sends single markers, each after the previous one was acknowledged, and times the round trips. */
    private static final class RoundTripTimer extends ChannelInboundHandlerAdapter {
        private final CompletableFuture<Double> medianUs;
        private final Histogram roundTripsNs = new Histogram(MAX_ROUND_TRIP_NS, HISTOGRAM_DIGITS);
        private long sentNs;

        RoundTripTimer(CompletableFuture<Double> medianUs) {
            this.medianUs = medianUs;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            send(ctx);
        }

        private void send(ChannelHandlerContext ctx) {
            sentNs = System.nanoTime();
            ctx.writeAndFlush(Unpooled.wrappedBuffer(new byte[] {MARKER}));
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            ((ByteBuf) message).release();
            roundTripsNs.recordValue(System.nanoTime() - sentNs);
            if (roundTripsNs.getTotalCount() < ROUND_TRIPS) {
                send(ctx);
            } else {
                medianUs.complete(roundTripsNs.getValueAtPercentile(MEDIAN_PERCENTILE) / NS_PER_US);
            }
        }
    }
}
