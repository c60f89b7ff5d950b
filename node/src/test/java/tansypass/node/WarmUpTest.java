package tansypass.node;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.management.HotSpotDiagnosticMXBean;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tansypass.node.configuration.NodeConfig;
import tansypass.node.process.ProxyNode;
import tansypass.node.warmup.WarmUp;
import tansypass.node.warmup.WarmUpRequestFactory;
import tansypass.platform.NodeConfigJsonReader;
import tansypass.platform.SocketAddressParser;

/** The warm-up of a node before it reports that it is ready. */
@Timeout(120)
class WarmUpTest {
    private static final HotSpotDiagnosticMXBean JVM =
            ManagementFactory.getPlatformMXBean(HotSpotDiagnosticMXBean.class);

    @Test
    void runsRequestPathOftenEnoughForJitCompilation() throws Exception {
        EventLoopGroup group = new TestEventLoopGroup(NioIoHandler.newFactory());
        EventLoop loop = group.next();
        try (FakePeer discovery = new FakePeer(FakePeer.SILENT);
                FakePeer self = new FakePeer(FakePeer.respondWith("200 OK", "", "rehearsed"))) {
            NodeConfig config =
                    NodeConfigJsonReader.read(Fixture.createConfig(discovery).toString(), Map.of());
            CountDownLatch ended = new CountDownLatch(1);
            InetSocketAddress target = SocketAddressParser.parse(self.address());
            loop.execute(() -> new WarmUp(
                            loop,
                            ProxyNode.newWarmUpSender(config, target, loop),
                            new WarmUpRequestFactory(config.settings(), "token"),
                            WarmUp.REQUESTS,
                            TimeUnit.SECONDS.toMillis(60),
                            ended::countDown)
                    .run());
            assertTrue(ended.await(60, TimeUnit.SECONDS), "the warm-up never ended");
            int notifyInterval = 1 << readVmFlag("Tier0InvokeNotifyFreqLog");
            int neededRequests = notifyInterval * (readVmFlag("Tier3InvocationThreshold") / notifyInterval + 1);
            assertTrue(
                    self.requests.size() >= neededRequests,
                    self.requests.size() + " requests, expected at least " + neededRequests);
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        }
    }

    /** Simulates a machine that is too slow: the warm-up times out while its requests wait for connections. */
    @Test
    void completesWhenItTimesOutWithRequestsInFlight() throws Exception {
        EventLoopGroup group = new TestEventLoopGroup(NioIoHandler.newFactory());
        EventLoop loop = group.next();
        try (FakePeer discovery = new FakePeer(FakePeer.SILENT);
                ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                SocketChannel first = SocketChannel.open();
                SocketChannel second = SocketChannel.open()) {
            // While the accept queue of a listener is full, the kernel answers no further handshake.
            for (SocketChannel filler : List.of(first, second)) {
                filler.configureBlocking(false);
                filler.connect(listener.getLocalSocketAddress());
            }
            NodeConfig config =
                    NodeConfigJsonReader.read(Fixture.createConfig(discovery).toString(), Map.of());
            CountDownLatch ended = new CountDownLatch(1);
            loop.execute(() -> new WarmUp(
                            loop,
                            ProxyNode.newWarmUpSender(
                                    config, (InetSocketAddress) listener.getLocalSocketAddress(), loop),
                            new WarmUpRequestFactory(config.settings(), "token"),
                            WarmUp.REQUESTS,
                            1_500,
                            ended::countDown)
                    .run());
            assertTrue(ended.await(20, TimeUnit.SECONDS), "the warm-up never ended");
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        }
    }

    private static int readVmFlag(String name) {
        return Integer.parseInt(JVM.getVMOption(name).getValue());
    }
}
