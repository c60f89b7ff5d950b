package tansypass.cluster.transport;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.Closeable;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** A transport whose address is in use can be closed, so that the node serves without membership. */
class ClusterTransportTest {
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    private static void assertClosesAfterFailedOpen(InetSocketAddress address, Closeable user) throws IOException {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (user) {
            ClusterTransport transport = new ClusterTransport(group.next());
            ClusterBindException failure =
                    assertThrows(ClusterBindException.class, () -> transport.open(address, null));
            assertTrue(failure.getMessage().contains(address.toString()), failure.getMessage());
            assertDoesNotThrow(transport::close);
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }

    @Test
    void closesAfterUdpAddressWasInUse() throws IOException {
        DatagramSocket user = new DatagramSocket(0, LOOPBACK);
        assertClosesAfterFailedOpen((InetSocketAddress) user.getLocalSocketAddress(), user);
    }

    @Test
    void closesAfterTcpAddressWasInUse() throws IOException {
        ServerSocket user = new ServerSocket(0, 1, LOOPBACK);
        assertClosesAfterFailedOpen((InetSocketAddress) user.getLocalSocketAddress(), user);
    }
}
