package tansypass.node.admin;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import tansypass.node.lifecycle.Lifecycle;

/**
 * The admin HTTP server for operators. It runs on its own event loop, so that it responds even if the node's event loop
 * is busy. It reads the {@link NodeMetrics} and changes the {@link Lifecycle}, both of which are thread-safe, and never
 * waits for the node's event loop.
 */
public final class AdminServer {
    /** Maximum number of concurrent connections; when it is reached, the oldest connection is closed for a new one. */
    static final int MAX_CONNECTIONS = 16;

    private static final int BACKLOG = 64;
    private static final int MAX_LINE_BYTES = 1_024;
    private static final int MAX_HEADER_BYTES = 4_096;
    private static final int MAX_BODY_BYTES = 1_024;

    private final NodeMetrics metrics;
    private final Lifecycle lifecycle;
    private final long callTimeoutMs;
    private final UnaryOperator<String> metricsFormatter;
    /** Open connections, oldest first; used on the admin event loop only. */
    private final Set<Channel> connections = new LinkedHashSet<>();

    /** Creates a server without a metrics page. */
    public AdminServer(NodeMetrics metrics, Lifecycle lifecycle, long callTimeoutMs) {
        this(metrics, lifecycle, callTimeoutMs, null);
    }

    /**
     * Creates a server that does not listen yet.
     *
     * @param callTimeoutMs the time after which a connection is closed, in milliseconds
     * @param metricsFormatter converts the text of {@code /_vars} to the page {@code /metrics}; null for no such page
     */
    public AdminServer(
            NodeMetrics metrics, Lifecycle lifecycle, long callTimeoutMs, UnaryOperator<String> metricsFormatter) {
        this.metrics = metrics;
        this.lifecycle = lifecycle;
        this.callTimeoutMs = callTimeoutMs;
        this.metricsFormatter = metricsFormatter;
    }

    /** Binds the address. The future fails if the address is in use. The group must have one thread. */
    public ChannelFuture listen(EventLoopGroup group, SocketAddress address) {
        return new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        register(channel);
                        channel.pipeline()
                                .addLast(
                                        new HttpServerCodec(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_BODY_BYTES),
                                        new CallAggregator(),
                                        new CallHandler());
                    }
                })
                .bind(address);
    }

    private void register(Channel channel) {
        if (connections.size() >= MAX_CONNECTIONS) {
            connections.iterator().next().close();
        }
        connections.add(channel);
        channel.closeFuture().addListener(closed -> connections.remove(channel));
        channel.eventLoop().schedule(() -> channel.close(), callTimeoutMs, TimeUnit.MILLISECONDS);
    }

    private FullHttpResponse handle(FullHttpRequest call) {
        if (call.decoderResult().isFailure()) {
            return newResponse(HttpResponseStatus.BAD_REQUEST, "malformed call\n");
        }
        return switch (call.uri()) {
            case "/_ready" -> requireMethod(call, HttpMethod.GET, this::getReadiness);
            case "/_vars" ->
                requireMethod(call, HttpMethod.GET, () -> newResponse(HttpResponseStatus.OK, metrics.format()));
            case "/_lameduck/on" -> requireMethod(call, HttpMethod.POST, this::startDraining);
            case "/_lameduck/off" -> requireMethod(call, HttpMethod.POST, this::resume);
            default ->
                call.uri().equals("/metrics") && metricsFormatter != null
                        ? requireMethod(call, HttpMethod.GET, this::getMetrics)
                        : newResponse(HttpResponseStatus.NOT_FOUND, "no such call\n");
        };
    }

    /** A function that carries out a call and creates the response. */
    private interface CallFunction {
        FullHttpResponse respond();
    }

    private static FullHttpResponse requireMethod(FullHttpRequest call, HttpMethod method, CallFunction handler) {
        if (call.method().equals(method)) {
            return handler.respond();
        }
        FullHttpResponse rejection = newResponse(HttpResponseStatus.METHOD_NOT_ALLOWED, "use " + method + "\n");
        rejection.headers().set(HttpHeaderNames.ALLOW, method.name());
        return rejection;
    }

    private FullHttpResponse getReadiness() {
        Lifecycle.State state = lifecycle.state();
        return newResponse(
                state == Lifecycle.State.TAKING ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
                state + "\n");
    }

    private FullHttpResponse getMetrics() {
        FullHttpResponse page = newResponse(HttpResponseStatus.OK, metricsFormatter.apply(metrics.format()));
        page.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; version=0.0.4; charset=utf-8");
        return page;
    }

    private FullHttpResponse startDraining() {
        lifecycle.startDraining();
        return newResponse(HttpResponseStatus.OK, lifecycle.state() + "\n");
    }

    private FullHttpResponse resume() {
        return newResponse(
                lifecycle.resume() ? HttpResponseStatus.OK : HttpResponseStatus.CONFLICT, lifecycle.state() + "\n");
    }

    private static FullHttpResponse newResponse(HttpResponseStatus status, String text) {
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
        response.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=us-ascii")
                .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes())
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        return response;
    }

    private static void respondAndClose(Channel channel, FullHttpResponse response) {
        channel.config().setAutoRead(false);
        channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    /** Aggregates a call. No call needs a body, and a long body is an error. */
    private static final class CallAggregator extends HttpObjectAggregator {
        CallAggregator() {
            super(MAX_BODY_BYTES, true);
        }

        @Override
        protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
            respondAndClose(ctx.channel(), newResponse(HttpResponseStatus.BAD_REQUEST, "call too long\n"));
        }
    }

    /** Handles the one call of a connection. */
    private final class CallHandler extends ChannelInboundHandlerAdapter {
        private boolean handled;

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            try {
                if (!handled && message instanceof FullHttpRequest call) {
                    handled = true;
                    respondAndClose(ctx.channel(), handle(call));
                }
            } finally {
                ReferenceCountUtil.release(message);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // The caller has disconnected, or has not sent HTTP.
            ctx.close();
        }
    }
}
