package tansypass.node.upstream;

import io.netty.bootstrap.Bootstrap;
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
import tansypass.node.http.BoundedReceiveAllocator;
import tansypass.node.http.BufferLimiters;
import tansypass.node.http.ConnectionBufferLimits;
import tansypass.node.http.ResponseDecoder;
import tansypass.node.http.SparseReadCompactor;
import tansypass.node.lifecycle.DescriptorLimiter;

/**
 * The connections to all servers. Each carries one request at a time. The pool sends an attempt at most once, to the
 * given server, and reports its end once; it never retries. All methods must be called on the event loop.
 */
public final class UpstreamConnectionPool {
    /** The time for which a connection is not reused after a response. According to the operators, some servers send
     * surplus bytes a few milliseconds after a response. A request written before they arrive would get them as its
     * response. */
    public static final long QUARANTINE_MS = 10;
    /** The time for which a server may send nothing of a long response, or read nothing of a request, before the
     * attempt ends. A server that is alive does not pause for seconds. */
    public static final long STALL_TIMEOUT_MS = 2_500;

    private static final int MAX_STATUS_LINE_BYTES = 4_096;
    private static final int MAX_HEADER_BYTES = 16_384;
    private static final long IDLE_CHECK_INTERVAL_MS = 500;
    private static final long US_PER_MS = 1_000;

    private final EventLoop loop;
    private final DescriptorLimiter descriptors;
    private final BufferLimiters limiters;
    private final int connectTimeoutMs;
    private final Bootstrap bootstrap;
    private final long idleTimeoutNanos;
    private final long quarantineNanos;
    private final ScheduledFuture<?> idleCheckTimer;
    private final Map<String, UpstreamServer> servers = new HashMap<>();

    /**
     * Creates a pool without servers.
     *
     * @param limiters bounds the memory of streamed messages
     * @param connectTimeoutUs the time after which a connect fails, in microseconds
     * @param serverIdleTimeoutUs the time after which servers close an idle connection, in microseconds; the pool
     *     closes it after half of that time
     * @param quarantineMs the time after a response for which its connection is not reused, in milliseconds
     */
    public UpstreamConnectionPool(
            EventLoop loop,
            DescriptorLimiter descriptors,
            BufferLimiters limiters,
            long connectTimeoutUs,
            long serverIdleTimeoutUs,
            long quarantineMs) {
        this.loop = loop;
        this.descriptors = descriptors;
        this.limiters = limiters;
        // The pool closes idle connections before the servers do. If a server closes a connection just as a request is
        // written to it, it is unknown whether the request was executed.
        idleTimeoutNanos = TimeUnit.MICROSECONDS.toNanos(serverIdleTimeoutUs) / 2;
        quarantineNanos = TimeUnit.MILLISECONDS.toNanos(quarantineMs);
        connectTimeoutMs = (int) Math.max(1, connectTimeoutUs / US_PER_MS);
        bootstrap = new Bootstrap()
                .group(loop)
                .disableResolver()
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs)
                .option(ChannelOption.SO_RCVBUF, ConnectionBufferLimits.SOCKET_BUFFER_BYTES)
                .option(ChannelOption.SO_SNDBUF, ConnectionBufferLimits.SOCKET_BUFFER_BYTES)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, ConnectionBufferLimits.WATER_MARK)
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new BoundedReceiveAllocator(
                                ConnectionBufferLimits.newAdaptiveAllocator(), limiters.direct()::maxReadBytes));
        descriptors.setServerCallback(this::closeOldestIdle);
        idleCheckTimer = loop.scheduleWithFixedDelay(
                this::closeExpiredConnections, IDLE_CHECK_INTERVAL_MS, IDLE_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Closes the idle connections now, and each other connection when its attempt ends. */
    public void close() {
        idleCheckTimer.cancel(false);
        for (UpstreamServer server : servers.values()) {
            server.markRemoved();
            server.closeIdleConnections();
        }
    }

    /** Applies an endpoint list: adds new servers, updates those listed, and removes those gone. */
    public void update(EndpointList list) {
        Set<String> listedIds = new HashSet<>();
        for (EndpointList.Endpoint endpoint : list.endpoints()) {
            listedIds.add(endpoint.id());
            UpstreamServer server = servers.computeIfAbsent(
                    endpoint.id(), id -> new UpstreamServer(loop, idleTimeoutNanos, quarantineNanos));
            if (server.update(endpoint)) {
                // The pending connects of these attempts went to the old address or process.
                for (int i = server.waitingAttemptCount(); i > 0; i--) {
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
        servers.values().stream()
                .filter(s -> s.isRemoved() || s.isDraining())
                .forEach(UpstreamServer::endWaitingAttempts);
        servers.values().removeIf(s -> s.isRemoved() && !s.hasWaitingAttempts());
    }

    /** Starts an attempt. Its end may be reported before this method returns. */
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
            // If an idle connection leaves quarantine first, it is used instead, and the new one serves the next
            // request.
            attempt.waitForConnection(connectTimeoutMs);
            connect(server);
            server.scheduleDispatch();
        }
        return attempt;
    }

    private void connect(UpstreamServer server) {
        int generation = server.onConnectStarted();
        if (!descriptors.addServer()) {
            server.onConnectFailed(generation);
            return;
        }
        NioSocketChannel channel;
        try {
            channel = new NioSocketChannel();
        } catch (ChannelException e) {
            // Probably no descriptor is left; closing an idle connection frees one for the next connect.
            descriptors.removeServer();
            descriptors.closeIdle();
            server.onConnectFailed(generation);
            return;
        }
        channel.closeFuture().addListener(closed -> descriptors.removeServer());
        UpstreamConnection connection = new UpstreamConnection(server, generation, channel, limiters);
        bootstrap
                .clone()
                .channelFactory(() -> channel)
                .handler(new PipelineInitializer(connection))
                .connect(server.address())
                .addListener(done -> {
                    if (done.isSuccess()) {
                        connection.onConnected();
                    } else {
                        server.onConnectFailed(generation);
                    }
                });
    }

    private void closeExpiredConnections() {
        long nowNanos = System.nanoTime();
        for (UpstreamServer server : servers.values()) {
            server.closeExpiredConnections(nowNanos);
        }
    }

    /** Closes the connection that has been idle longest, and returns whether there was one. */
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
                            new SparseReadCompactor(connection::isRelaying),
                            new HttpRequestEncoder(),
                            new ResponseDecoder(MAX_STATUS_LINE_BYTES, MAX_HEADER_BYTES),
                            connection);
        }
    }
}
