package tansypass.node.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tansypass.node.FakePeer;
import tansypass.node.TestEventLoopGroup;

/** The progress of a receiver that reads too little for the kernel to report its connection as writable. */
@Timeout(120)
class StreamWindowTest {
    /** More than the connection's buffers hold. */
    private static final int WRITTEN_BYTES = 16 << 20;
    /** A receive buffer of a fixed size, whose window the kernel does not enlarge while it is read. */
    private static final int RECEIVE_BUFFER_BYTES = 32 * 1024;
    /** Opens the receiver's window, and is less than the third of the send buffer that makes it writable. */
    private static final int READ_BYTES = 40_000;

    private EventLoopGroup group;
    private ServerSocket listener;
    private Channel channel;
    private Socket receiver;
    private StreamWindow window;

    @BeforeEach
    void fillConnection() throws Exception {
        group = new TestEventLoopGroup(NioIoHandler.newFactory());
        listener = new ServerSocket();
        listener.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1);
        channel = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.SO_SNDBUF, ConnectionBufferLimits.SOCKET_BUFFER_BYTES)
                .handler(new ChannelInboundHandlerAdapter())
                .connect(listener.getLocalSocketAddress())
                .sync()
                .channel();
        receiver = listener.accept();
        window = new StreamWindow(channel, new StreamMemoryLimiter(WRITTEN_BYTES, 1));
        channel.writeAndFlush(Unpooled.wrappedBuffer(new byte[WRITTEN_BYTES]));
        long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(FakePeer.AWAIT_TIMEOUT_S);
        while (hasAdvanced()) {
            assertTrue(System.nanoTime() < deadlineNs, "the kernel's buffers are never full");
        }
    }

    @AfterEach
    void closeConnection() throws Exception {
        receiver.close();
        listener.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    private boolean hasAdvanced() throws Exception {
        return channel.eventLoop().submit(window::hasAdvanced).get();
    }

    private long progress() throws Exception {
        return channel.eventLoop()
                .submit(() -> channel.unsafe().outboundBuffer().currentProgress())
                .get();
    }

    @Test
    void receiverThatReadsLittleAdvances() throws Exception {
        long progressBefore = progress();
        receiver.getInputStream().readNBytes(READ_BYTES);
        for (int i = 0; i < 100; i++) {
            group.next().submit(() -> {}).get();
        }
        assertEquals(progressBefore, progress(), "the kernel reported the connection as writable");
        long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(FakePeer.AWAIT_TIMEOUT_S);
        while (!hasAdvanced()) {
            assertTrue(System.nanoTime() < deadlineNs, "no progress seen");
        }
        assertTrue(progress() > progressBefore);
    }

    @Test
    void receiverThatReadsNothingDoesNotAdvance() throws Exception {
        for (int i = 0; i < 100; i++) {
            assertFalse(hasAdvanced());
        }
    }

    @Test
    void closedConnectionDoesNotAdvance() throws Exception {
        channel.close().sync();
        assertFalse(hasAdvanced());
    }
}
