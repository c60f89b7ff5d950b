package tansypass.testbed.process;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntFunction;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import tansypass.balancer.ServerState;
import tansypass.node.endpoint.EndpointList;
import tansypass.node.endpoint.EndpointList.Endpoint;
import tansypass.platform.EndpointListJsonWriter;
import tansypass.testbed.invariant.InvariantChecker;
import tansypass.testbed.model.EndpointRegistry;
import tansypass.testbed.model.EndpointRegistry.Entry;
import tansypass.testbed.model.EndpointRegistry.State;
import tansypass.testbed.model.EndpointRegistry.WatchEvent;
import tansypass.testbed.scenario.Scenario;

/**
 * The discovery agent of one node: serves the endpoint list, which all nodes share, in the platform's discovery
 * protocol. Used only on the run's event loop, except for {@link #start}.
 */
final class DiscoveryAgent {
    private static final int MAX_BODY_BYTES = 1_024;
    private static final long KEEP_ALIVE_INTERVAL_MS = 2_000;
    private static final Pattern WATCH_REQUEST = Pattern.compile("/v1/endpoints\\?watch=1&after=([0-9]{1,18})");

    private final EventLoop loop;
    private final Scenario scenario;
    private final int node;
    private final EndpointRegistry registry;
    private final IntFunction<InetSocketAddress> serverAddresses;
    private final InvariantChecker checker;
    private final RunClock clock;
    private final Set<Watch> watches = new LinkedHashSet<>();
    private Channel listener;

    /**
     * Creates an agent that does not listen yet.
     *
     * @param serverAddresses returns the address at which the node reaches the server with a given number
     */
    DiscoveryAgent(
            EventLoop loop,
            Scenario scenario,
            int node,
            EndpointRegistry registry,
            IntFunction<InetSocketAddress> serverAddresses,
            InvariantChecker checker,
            RunClock clock) {
        this.loop = loop;
        this.scenario = scenario;
        this.node = node;
        this.registry = registry;
        this.serverAddresses = serverAddresses;
        this.checker = checker;
        this.clock = clock;
    }

    /** Listens at a free port of this host; must not be called on the event loop, because it waits. */
    void start(String host) throws IOException {
        listener = Channels.listen(loop, new InetSocketAddress(host, 0), this::accept);
    }

    InetSocketAddress address() {
        return Channels.localAddress(listener);
    }

    private void accept(SocketChannel channel) {
        channel.pipeline()
                .addLast(new HttpServerCodec(), new HttpObjectAggregator(MAX_BODY_BYTES), new RequestHandler());
    }

    private String toJson(WatchEvent event) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (Entry entry : event.entries()) {
            endpoints.add(toEndpoint(entry));
        }
        return EndpointListJsonWriter.write(new EndpointList(event.revision(), event.isSnapshot(), endpoints)) + "\n";
    }

    private Endpoint toEndpoint(Entry entry) {
        return new Endpoint(
                entry.name(),
                serverAddresses.apply(entry.number()),
                scenario.zone(entry.number()),
                entry.number() / scenario.servers().serversPerCell(),
                switch (entry.state()) {
                    case READY -> ServerState.READY;
                    case TERMINATING -> ServerState.DRAINING;
                    case GONE -> ServerState.GONE;
                },
                1,
                entry.bootMs());
    }

    private void recordNotified(WatchEvent event) {
        for (Entry entry : event.entries()) {
            checker.endpointNotified(clock.nowUs(), node, entry.number(), entry.state() != State.READY);
        }
    }

    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            Matcher watchRequest = WATCH_REQUEST.matcher(request.uri());
            if (watchRequest.matches()) {
                new Watch(ctx.channel(), Long.parseLong(watchRequest.group(1))).open();
            } else if (!registry.isSilent()) {
                boolean isListRequest = request.uri().equals("/v1/endpoints");
                FullHttpResponse response = new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        isListRequest ? HttpResponseStatus.OK : HttpResponseStatus.NOT_FOUND,
                        Unpooled.copiedBuffer(
                                isListRequest ? toJson(registry.snapshot()) : "", StandardCharsets.US_ASCII));
                response.headers()
                        .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
                ctx.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** An open watch: writes the changes since its last event each time the registry publishes a change. */
    private final class Watch implements Consumer<WatchEvent> {
        private final Channel channel;
        private long revision;
        private boolean hasWrittenHead;
        private Future<?> keepAlive;

        Watch(Channel channel, long afterRevision) {
            this.channel = channel;
            revision = afterRevision;
        }

        void open() {
            watches.add(this);
            registry.addWatcher(this);
            keepAlive = loop.scheduleAtFixedRate(
                    this::writeKeepAlive, KEEP_ALIVE_INTERVAL_MS, KEEP_ALIVE_INTERVAL_MS, TimeUnit.MILLISECONDS);
            channel.closeFuture().addListener(closed -> {
                keepAlive.cancel(false);
                watches.remove(this);
                registry.removeWatcher(this);
            });
            if (!registry.isSilent()) {
                writeChanges();
            }
        }

        /**
         * Writes all changes since the last event of this watch. These may be more than the registry has just
         * published, because this watch may have begun at an older revision.
         */
        @Override
        public void accept(WatchEvent published) {
            writeChanges();
        }

        private void writeChanges() {
            if (!hasWrittenHead) {
                hasWrittenHead = true;
                HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
                head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
                channel.write(head);
            }
            WatchEvent event = revision == 0 ? registry.snapshot() : registry.changesSince(revision);
            revision = event.revision();
            write(toJson(event));
            recordNotified(event);
        }

        private void writeKeepAlive() {
            if (!registry.isSilent() && hasWrittenHead) {
                write("\n");
            }
        }

        private void write(String text) {
            channel.writeAndFlush(new DefaultHttpContent(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII)));
        }
    }
}
