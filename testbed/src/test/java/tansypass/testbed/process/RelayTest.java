package tansypass.testbed.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tansypass.cluster.runtime.RandomStreams;
import tansypass.cluster.transport.EventLoopScheduler;
import tansypass.testbed.model.LinkState;
import tansypass.testbed.scenario.Scenario.Fault;
import tansypass.testbed.scenario.Scenario.FaultDirection;
import tansypass.testbed.scenario.Scenario.Kind;

@Timeout(60)
class RelayTest {
    private static final int TIMEOUT_MS = 20_000;
    private static final int NO_DATA_TIMEOUT_MS = 150;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private ServerSocket server;
    private Relay relay;

    @BeforeEach
    void open() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        EventLoopScheduler scheduler = new EventLoopScheduler(loop);
        relay = new Relay(loop, scheduler, new LinkState(0, RandomStreams.of(1, "link")), (InetSocketAddress)
                server.getLocalSocketAddress());
        relay.start("127.0.0.1");
    }

    @AfterEach
    void close() throws Exception {
        loop.submit(relay::close).get();
        server.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await();
    }

    private static Fault fault(Kind kind, FaultDirection direction) {
        return new Fault(kind, 0, 0, List.of("node-0", "server-0"), direction, 0, 0);
    }

    private void applyFault(Fault fault, boolean begins) throws Exception {
        loop.submit(() -> relay.applyFault(fault, begins)).get();
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(relay.address().getAddress(), relay.address().getPort());
        socket.setSoTimeout(TIMEOUT_MS);
        return socket;
    }

    private Socket accept() throws IOException {
        Socket socket = server.accept();
        socket.setSoTimeout(TIMEOUT_MS);
        return socket;
    }

    @Test
    void relaysBytesAndEndOfStreamInBothDirections() throws Exception {
        try (Socket client = connect();
                Socket accepted = accept()) {
            client.getOutputStream().write(7);
            assertEquals(7, accepted.getInputStream().read());
            accepted.getOutputStream().write(8);
            assertEquals(8, client.getInputStream().read());
            accepted.shutdownOutput();
            assertEquals(-1, client.getInputStream().read());
        }
    }

    @Test
    void cutDelaysOneDirectionAndDeliversInOrderAfterwards() throws Exception {
        Fault cut = fault(Kind.CUT, FaultDirection.THERE);
        try (Socket client = connect();
                Socket accepted = accept()) {
            applyFault(cut, true);
            client.getOutputStream().write(new byte[] {1, 2});
            accepted.getOutputStream().write(9);
            assertEquals(9, client.getInputStream().read());
            accepted.setSoTimeout(NO_DATA_TIMEOUT_MS);
            assertThrows(
                    SocketTimeoutException.class,
                    () -> accepted.getInputStream().read());
            accepted.setSoTimeout(TIMEOUT_MS);
            applyFault(cut, false);
            client.getOutputStream().write(3);
            assertEquals(
                    List.of(1, 2, 3),
                    List.of(
                            accepted.getInputStream().read(),
                            accepted.getInputStream().read(),
                            accepted.getInputStream().read()));
        }
    }

    @Test
    void cutBlocksHandshakesUntilLastFaultEnds() throws Exception {
        Fault first = fault(Kind.CUT, FaultDirection.BOTH);
        Fault second = fault(Kind.CUT, FaultDirection.BACK);
        applyFault(first, true);
        while (!loop.submit(relay::blocksHandshakes).get()) {
            Thread.onSpinWait();
        }
        try (Socket client = new Socket()) {
            assertThrows(SocketTimeoutException.class, () -> client.connect(relay.address(), NO_DATA_TIMEOUT_MS));
        }
        // The link stays cut, because the second fault begins before the first one ends.
        applyFault(second, true);
        applyFault(first, false);
        try (Socket client = new Socket()) {
            assertThrows(SocketTimeoutException.class, () -> client.connect(relay.address(), NO_DATA_TIMEOUT_MS));
        }
        try (SocketChannel waiting = SocketChannel.open();
                Selector selector = Selector.open()) {
            // The handshake begins before the fault ends: while one listener replaces the other it would be refused.
            waiting.configureBlocking(false);
            assertFalse(waiting.connect(relay.address()));
            waiting.register(selector, SelectionKey.OP_CONNECT);
            applyFault(second, false);
            assertEquals(1, selector.select(TIMEOUT_MS));
            assertTrue(waiting.finishConnect());
            try (Socket accepted = accept()) {
                assertEquals(1, waiting.write(ByteBuffer.wrap(new byte[] {5})));
                assertEquals(5, accepted.getInputStream().read());
            }
        }
    }

    @Test
    void halfOpenLinkDelaysEndOfStreamUntilFaultEnds() throws Exception {
        Fault halfOpen = fault(Kind.HALF_OPEN, FaultDirection.BOTH);
        try (Socket client = connect()) {
            Socket accepted = accept();
            applyFault(halfOpen, true);
            accepted.close();
            client.setSoTimeout(NO_DATA_TIMEOUT_MS);
            assertThrows(
                    SocketTimeoutException.class, () -> client.getInputStream().read());
            client.setSoTimeout(TIMEOUT_MS);
            applyFault(halfOpen, false);
            assertEquals(-1, client.getInputStream().read());
        }
    }

    @Test
    void appliesBackpressureWhenReceiverDoesNotRead() throws Exception {
        byte[] body = new byte[64 << 20];
        try (Socket client = connect();
                Socket accepted = accept()) {
            Thread sender = new Thread(() -> {
                try {
                    client.getOutputStream().write(body);
                } catch (IOException e) {
                    throw new IllegalStateException(e);
                }
            });
            sender.start();
            accepted.getInputStream().readNBytes(1 << 20);
            sender.join(NO_DATA_TIMEOUT_MS);
            assertTrue(sender.isAlive(), "the relay buffered all 64 MB, without backpressure");
            accepted.getInputStream().readNBytes(body.length - (1 << 20));
            sender.join();
        }
    }

    @Test
    void resetFaultResetsOpenAndNewConnections() throws Exception {
        Fault reset = fault(Kind.RESET, FaultDirection.BOTH);
        try (Socket client = connect();
                Socket accepted = accept()) {
            applyFault(reset, true);
            assertThrows(SocketException.class, () -> client.getInputStream().read());
            assertThrows(SocketException.class, () -> accepted.getInputStream().read());
        }
        try (Socket client = connect()) {
            assertThrows(SocketException.class, () -> client.getInputStream().read());
        } catch (SocketException e) {
            // The connection was reset before connect() returned.
            assertTrue(e.getMessage().contains("reset"), e.getMessage());
        }
        applyFault(reset, false);
        relaysBytesAndEndOfStreamInBothDirections();
    }
}
