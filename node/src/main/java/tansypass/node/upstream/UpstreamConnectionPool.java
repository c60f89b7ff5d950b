package tansypass.node.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import tansypass.balancer.AttemptResult;
import tansypass.node.endpoint.EndpointList;
import tansypass.node.http.ConnectionBufferLimits;
import tansypass.node.http.ResponseDecoder;
import tansypass.node.lifecycle.DescriptorLimiter;

/**
 * The connections to all servers, one request on each at a time. An attempt is sent once, to the server named,
 * and its end is reported once; nothing here retries. All methods are to be called on the event loop.
 */
public final class UpstreamConnectionPool {
    /** How long a connection is in quarantine after a response. Some servers send more bytes than belong to it, some
     * milliseconds later according to the operators; after the next request was written they would be read as its
     * response. */
    public static final long QUARANTINE_MS = 10;
    /** How long a server may send nothing of a long response, or read nothing of a request, until the attempt ends: one
     * that is alive does not pause for seconds. */
    public static final long STALL_TIMEOUT_MS = 2_500;

    private static final int MAX_STATUS_LINE_BYTES = 4_096;
    private static final int MAX_HEADER_BYTES = 16_384;
    private static final long SWEEP_INTERVAL_MS = 500;
    private static final long US_PER_MS = 1_000;

    private final EventLoop loop;
    private final DescriptorLimiter descriptors;
    private final int connectTimeoutMs;
    private final Bootstrap bootstrap;
    private final long idleTimeoutNanos;
    private final long quarantineNanos;
    private final ScheduledFuture<?> sweeper;
    private final Map<String, UpstreamServer> servers = new HashMap<>();

    /**
     * Creates a pool without servers.
     *
     * @param connectTimeoutUs microseconds until a connect fails
     * @param serverIdleUs microseconds after which servers close an idle connection; the pool does so after
     *     half of that time
     * @param quarantineMs milliseconds from a response until its connection is used again
     */
    public UpstreamConnectionPool(
            EventLoop loop,
            DescriptorLimiter descriptors,
            long connectTimeoutUs,
            long serverIdleUs,
            long quarantineMs) {
        this.loop = loop;
        this.descriptors = descriptors;
        // If the server is just closing the connection, it is unknown whether a request written to it was executed.
        idleTimeoutNanos = TimeUnit.MICROSECONDS.toNanos(serverIdleUs) / 2;
        quarantineNanos = TimeUnit.MILLISECONDS.toNanos(quarantineMs);
        connectTimeoutMs = (int) Math.max(1, connectTimeoutUs / US_PER_MS);
        bootstrap = new Bootstrap()
                .group(loop)
                .disableResolver()
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, ConnectionBufferLimits.WATER_MARK)
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(
                                ConnectionBufferLimits.MIN_READ_BYTES,
                                ConnectionBufferLimits.INITIAL_READ_BYTES,
                                ConnectionBufferLimits.MAX_READ_BYTES));
        descriptors.setServerCallback(this::closeOldestIdle);
        sweeper = loop.scheduleWithFixedDelay(
                this::closeExpired, SWEEP_INTERVAL_MS, SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Closes the idle connections now, and the others when their attempts end. */
    public void close() {
        sweeper.cancel(false);
        for (UpstreamServer server : servers.values()) {
            server.markRemoved();
            server.closeIdleConnections();
        }
    }

    /** Applies an endpoint list: servers that are new, have moved or restarted, are draining or were removed. */
    public void update(EndpointList list) {
        Set<String> listedIds = new HashSet<>();
        for (EndpointList.Endpoint endpoint : list.endpoints()) {
            listedIds.add(endpoint.id());
            UpstreamServer server = servers.computeIfAbsent(
                    endpoint.id(), id -> new UpstreamServer(loop, idleTimeoutNanos, quarantineNanos));
            if (server.update(endpoint)) {
                // The waiting attempts' connects went to the old address or process.
                for (int i = server.waitingCount(); i > 0; i--) {
                    connect(server);
                }
            }
        }
        if (list.isSnapshot()) {
            servers.forEach((id, server) -> {
                if (!listedIds.contains(id)) {
                    server.markRemoved();
                }
            });
        }
        servers.values().stream().filter(UpstreamServer::isRemoved).forEach(UpstreamServer::closeIdleConnections);
        servers.values().stream().filter(s -> s.isRemoved() || s.isDraining()).forEach(UpstreamServer::endWaiting);
        servers.values().removeIf(s -> s.isRemoved() && !s.hasWaiting());
    }

    /** Starts an attempt; its end may be reported before this returns. */
    public UpstreamAttempt startAttempt(String serverId, AttemptHandler handler) {
        UpstreamServer server = servers.get(serverId);
        UpstreamAttempt attempt = new UpstreamAttempt(server, handler);
        if (server == null) {
            attempt.end(AttemptResult.CONNECT_FAILED, null);
            return attempt;
        }
        UpstreamConnection connection = server.takeIdleOrNull();
        if (connection != null) {
            connection.send(attempt);
        } else {
            // If a connection leaves quarantine first, the new one is available to the next request.
            attempt.waitForConnection(connectTimeoutMs);
            connect(server);
            server.scheduleDispatch();
        }
        return attempt;
    }

    private void connect(UpstreamServer server) {
        int generation = server.startConnect();
        if (!descriptors.addServer()) {
            server.failConnect(generation);
            return;
        }
        NioSocketChannel channel;
        try {
            channel = new NioSocketChannel();
        } catch (ChannelException e) {
            // Out of descriptors, most likely: closing an idle connection lets the next connect succeed.
            descriptors.removeServer();
            descriptors.closeIdle();
            server.failConnect(generation);
            return;
        }
        channel.closeFuture().addListener(closed -> descriptors.removeServer());
        UpstreamConnection connection = new UpstreamConnection(server, generation, channel);
        bootstrap
                .clone()
                .channelFactory(() -> channel)
                .handler(new PipelineInitializer(connection))
                .connect(server.address())
                .addListener(done -> {
                    if (done.isSuccess()) {
                        connection.onConnected();
                    } else {
                        server.failConnect(generation);
                    }
                });
    }

    private void closeExpired() {
        long nowNanos = System.nanoTime();
        for (UpstreamServer server : servers.values()) {
            server.closeExpired(nowNanos);
        }
    }

    /** Closes the connection that has been idle longest; returns whether there was one. */
    private boolean closeOldestIdle() {
        UpstreamServer oldestServer = null;
        UpstreamConnection oldest = null;
        for (UpstreamServer server : servers.values()) {
            UpstreamConnection candidate = server.oldestIdleOrNull();
            if (candidate != null && (oldest == null || candidate.idleSinceNanos() - oldest.idleSinceNanos() < 0)) {
                oldestServer = server;
                oldest = candidate;
            }
        }
        if (oldestServer == null) {
            return false;
        }
        oldestServer.closeOldestIdle();
        return true;
    }

    /** Sets up the handlers of a new channel. */
    private static final class PipelineInitializer extends ChannelInitializer<SocketChannel> {
        private final UpstreamConnection connection;

        PipelineInitializer(UpstreamConnection connection) {
            this.connection = connection;
        }

        @Override
        protected void initChannel(SocketChannel channel) {
            channel.pipeline()
                    .addLast(
                            new UnsolicitedDataHandler(connection),
                            new HttpRequestEncoder(),
                            new ResponseDecoder(MAX_STATUS_LINE_BYTES, MAX_HEADER_BYTES),
                            connection);
        }
    }
}
