package tansypass.node.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against messages to many slow receivers that together need more direct memory than there is. */
class StreamMemoryLimiterTest {
    private static final RequestBodyWriter.Listener UNUSED_LISTENER = new RequestBodyWriter.Listener() {
        @Override
        public void onLastWritten(ChannelFuture lastWrite) {}

        @Override
        public void onBodyClosed() {}
    };

    private static final long DIRECT_MEMORY_BYTES = 24 << 20;
    /** Receive buffers may be half empty, so that waiting bytes may use up to twice as much memory. */
    private static final long MAX_WAITING_BYTES = DIRECT_MEMORY_BYTES / 2;
    /** A third of the largest number of descriptors. */
    private static final int MAX_STREAMS = 341;

    private static final int DECODED_PART_BYTES = 8 * 1024;

    private final StreamMemoryLimiter limiter = new StreamMemoryLimiter(DIRECT_MEMORY_BYTES, MAX_STREAMS);
    private final List<BlockableChannel> channels = new ArrayList<>();

    private BlockableChannel openChannel() {
        BlockableChannel channel = new BlockableChannel();
        channels.add(channel);
        return channel;
    }

    @AfterEach
    void closeChannels() {
        channels.forEach(EmbeddedChannel::finishAndReleaseAll);
    }

    /** Writes as a relay does: until the channel is not writable. */
    private StreamWindow fill(BlockableChannel channel) {
        StreamWindow window = new StreamWindow(channel, limiter);
        while (channel.isWritable()) {
            window.resize();
            channel.write(Unpooled.buffer(limiter.maxReadBytes()).writeZero(limiter.maxReadBytes()));
        }
        channel.flush();
        window.updateUsage();
        return window;
    }

    private void assertWaitingBytesFitIntoMemory() {
        long waiting =
                channels.stream().mapToLong(BlockableChannel::waitingBytes).sum();
        assertTrue(waiting <= MAX_WAITING_BYTES, "bytes that wait: " + waiting);
        assertEquals(waiting, limiter.usedBytes());
    }

    @Test
    void responsesToAllClientsFitIntoMemoryIfNoneReads() {
        for (int i = 0; i < MAX_STREAMS; i++) {
            fill(openChannel());
        }
        assertWaitingBytesFitIntoMemory();
    }

    @Test
    void requestsOfAllClientsFitIntoMemoryIfNoWebServerReads() {
        HeapBufferLimiter bodyLimiter = new HeapBufferLimiter(128);
        List<RequestBody> bodies = new ArrayList<>();
        for (int i = 0; i < MAX_STREAMS; i++) {
            BlockableChannel channel = openChannel();
            RequestBody body = new RequestBody(bodyLimiter);
            bodies.add(body);
            ProgressTimeout unusedTimeout = new ProgressTimeout(channel.eventLoop(), () -> false, () -> {});
            new RequestBodyWriter(channel, new StreamWindow(channel, limiter), body, unusedTimeout, UNUSED_LISTENER)
                    .start();
            while (!body.isWindowFull()) {
                body.add(Unpooled.wrappedBuffer(new byte[DECODED_PART_BYTES]));
            }
        }
        assertWaitingBytesFitIntoMemory();
        bodies.forEach(RequestBody::close);
    }

    @Test
    void windowsGrowBackWhenReceiversAcceptTheirBytesOrLeave() {
        List<StreamWindow> windows = new ArrayList<>();
        for (int i = 0; i < MAX_STREAMS; i++) {
            windows.add(fill(openChannel()));
        }
        assertTrue(limiter.maxReadBytes() < ConnectionBufferLimits.MAX_READ_BYTES);
        for (int i = 0; i < MAX_STREAMS; i++) {
            if (i % 2 == 0) {
                channels.get(i).unblock();
            } else {
                channels.get(i).close();
            }
            windows.get(i).updateUsage();
        }
        assertEquals(0, limiter.usedBytes());
        assertSame(ConnectionBufferLimits.WATER_MARK, limiter.waterMark());
        assertEquals(ConnectionBufferLimits.MAX_READ_BYTES, limiter.maxReadBytes());
    }

    /** Guards against a few bytes that each keep a whole receive buffer in memory. */
    @Test
    void smallReadsDoNotKeepTheirReceiveBuffers() {
        boolean[] keepsReads = {true};
        EmbeddedChannel channel = new EmbeddedChannel(new SparseReadCompactor(() -> keepsReads[0]));
        for (int size : new int[] {1, 100, 16_384, 20_000}) {
            ByteBuf received = channel.alloc()
                    .directBuffer(ConnectionBufferLimits.MAX_READ_BYTES)
                    .writeZero(size);
            channel.writeInbound(received);
            ByteBuf passed = channel.readInbound();
            assertEquals(size, passed.readableBytes());
            assertTrue(passed.capacity() <= Math.max(2 * size, 64), "capacity " + passed.capacity());
            ReferenceCountUtil.release(passed);
        }
        keepsReads[0] = false;
        ByteBuf unkept = channel.alloc()
                .directBuffer(ConnectionBufferLimits.MAX_READ_BYTES)
                .writeZero(1);
        channel.writeInbound(unkept);
        assertSame(unkept, channel.readInbound());
        unkept.release();
        channel.finishAndReleaseAll();
    }
}
