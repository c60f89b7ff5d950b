package tansypass.node;

import com.google.gson.JsonObject;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import tansypass.node.configuration.NodeConfig;
import tansypass.node.lifecycle.DelayRoundingIoHandler;
import tansypass.node.process.ProxyNode;

/** A node running in the test's process on one event loop, which the test can block, and its clients. */
final class RunningNode implements Closeable {
    final EventLoop loop;
    final ProxyNode node;
    final int port;
    private final EventLoopGroup group = new TestEventLoopGroup(DelayRoundingIoHandler.newFactory());
    private final List<Socket> clients = new ArrayList<>();

    RunningNode(JsonObject configJson) throws Exception {
        loop = group.next();
        NodeConfig config = Fixture.loadConfig(configJson);
        node = loop.submit(() -> new ProxyNode(config, loop)).get();
        Channel channel = loop.submit(() -> node.start(group, 8)).get().sync().getNow();
        port = ((InetSocketAddress) channel.localAddress()).getPort();
    }

    /** Opens a client connection, which {@link #close} closes. */
    Socket connect() throws Exception {
        Socket socket = Fixture.connect(port);
        clients.add(socket);
        return socket;
    }

    /** Blocks the thread of the event loop until the returned latch is counted down. */
    CountDownLatch blockEventLoop() throws Exception {
        return Fixture.blockEventLoop(loop);
    }

    /** Reads a metric by its name without the prefix {@code node.}; thread-safe. */
    long readMetric(String name) {
        Map<String, Long> metrics = node.metrics()
                .format()
                .lines()
                .map(line -> line.split("="))
                .collect(Collectors.toMap(field -> field[0], field -> Long.valueOf(field[1])));
        return metrics.get("node." + name);
    }

    /** Waits until a metric has the given value. Fails after {@link FakePeer#AWAIT_TIMEOUT_S}. */
    void awaitMetric(String name, long value) {
        long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(FakePeer.AWAIT_TIMEOUT_S);
        while (readMetric(name) != value) {
            if (System.nanoTime() > deadlineNs) {
                throw new AssertionError(name + " is still " + readMetric(name) + ", not " + value);
            }
            Thread.onSpinWait();
        }
    }

    /** Closes the client connections, waits until no request is in flight, and ends the event loop. */
    @Override
    public void close() {
        try {
            for (Socket client : clients) {
                client.close();
            }
            awaitMetric("in_flight", 0);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }
}
