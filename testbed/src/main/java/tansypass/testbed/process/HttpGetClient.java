package tansypass.testbed.process;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Sends single GET requests, each on a new connection. */
final class HttpGetClient {
    private static final int TIMEOUT_MS = 1_000;
    private static final int MAX_BODY_BYTES = 1 << 20;

    private HttpGetClient() {}

    /** A complete response. */
    record Response(int status, String body) {}

    /**
     * Sends a request. The callback is called once, on the event loop: with the response, or with an empty value if
     * no complete response arrives in time.
     */
    static void get(EventLoop loop, InetSocketAddress address, String path, Consumer<Optional<Response>> callback) {
        Channels.connect(
                        loop,
                        address,
                        TIMEOUT_MS,
                        true,
                        channel -> channel.pipeline()
                                .addLast(
                                        new ReadTimeoutHandler(TIMEOUT_MS, TimeUnit.MILLISECONDS),
                                        new HttpClientCodec(),
                                        new HttpObjectAggregator(MAX_BODY_BYTES),
                                        new ResponseHandler(path, callback)))
                .addListener(connectResult -> {
                    if (!connectResult.isSuccess()) {
                        callback.accept(Optional.empty());
                    }
                });
    }

    private static final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final String path;
        private final Consumer<Optional<Response>> callback;
        private boolean isCompleted;

        ResponseHandler(String path, Consumer<Optional<Response>> callback) {
            this.path = path;
            this.callback = callback;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
            request.headers().set(HttpHeaderNames.HOST, "node.local").set(HttpHeaderNames.CONNECTION, "close");
            ctx.writeAndFlush(request);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            String body = response.content().toString(StandardCharsets.US_ASCII);
            complete(Optional.of(new Response(response.status().code(), body)));
            ctx.close();
        }

        private void complete(Optional<Response> response) {
            if (!isCompleted) {
                isCompleted = true;
                callback.accept(response);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            complete(Optional.empty());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
