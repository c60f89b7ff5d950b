package tansypass.cluster.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;

/** Serves one HTTP request per connection, for a push-pull sync or the view page, and then closes the connection. */
final class ClusterRequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final byte[] NO_BODY = {};

    private final ClusterTransport.Handler handler;

    ClusterRequestHandler(ClusterTransport.Handler handler) {
        this.handler = handler;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
        if (request.decoderResult().isFailure()) {
            respond(ctx, HttpResponseStatus.BAD_REQUEST, NO_BODY);
        } else if (request.method().equals(HttpMethod.POST) && request.uri().equals(ClusterTransport.PUSH_PULL_PATH)) {
            Optional<byte[]> view = handler.onPushPull(ByteBufUtil.getBytes(request.content()));
            HttpResponseStatus status = view.isPresent() ? HttpResponseStatus.OK : HttpResponseStatus.FORBIDDEN;
            respond(ctx, status, view.orElse(NO_BODY));
        } else if (request.method().equals(HttpMethod.GET) && request.uri().equals(ClusterTransport.VIEW_PATH)) {
            respond(ctx, HttpResponseStatus.OK, handler.viewPage());
        } else {
            respond(ctx, HttpResponseStatus.NOT_FOUND, NO_BODY);
        }
    }

    private static void respond(ChannelHandlerContext ctx, HttpResponseStatus status, byte[] body) {
        ByteBuf content = Unpooled.wrappedBuffer(body);
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content);
        response.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
                .set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes())
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        ctx.writeAndFlush(response).addListener(written -> ctx.close());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
