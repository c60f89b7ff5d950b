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

/**
 * Tests that a transport can be closed after it failed to open because its address was in use. The node closes it and
 * then serves clients without membership.
 */
class ClusterTransportTest {
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    private static void assertClosesAfterFailedOpen(InetSocketAddress address, Closeable addressOwner)
            throws IOException {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (addressOwner) {
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
        DatagramSocket addressOwner = new DatagramSocket(0, LOOPBACK);
        assertClosesAfterFailedOpen((InetSocketAddress) addressOwner.getLocalSocketAddress(), addressOwner);
    }

    @Test
    void closesAfterTcpAddressWasInUse() throws IOException {
        ServerSocket addressOwner = new ServerSocket(0, 1, LOOPBACK);
        assertClosesAfterFailedOpen((InetSocketAddress) addressOwner.getLocalSocketAddress(), addressOwner);
    }
}
