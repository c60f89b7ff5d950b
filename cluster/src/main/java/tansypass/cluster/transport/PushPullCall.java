package tansypass.cluster.transport;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * A push-pull sync that this process started, on a connection of its own. It completes exactly once, with the view of
 * the peer, or with empty if the peer sent none.
 */
final class PushPullCall extends SimpleChannelInboundHandler<FullHttpResponse> {
    /** The Host header. HTTP/1.1 requires one, but a peer has no host name, only an address. */
    private static final String HOST = "fleet";

    private final byte[] view;
    private final Consumer<Optional<byte[]>> onResult;
    private boolean isCompleted;

    PushPullCall(byte[] view, Consumer<Optional<byte[]>> onResult) {
        this.view = view;
        this.onResult = onResult;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.POST, ClusterTransport.PUSH_PULL_PATH, Unpooled.wrappedBuffer(view));
        request.headers()
                .set(HttpHeaderNames.HOST, HOST)
                .set(HttpHeaderNames.CONTENT_LENGTH, view.length)
                .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        ctx.writeAndFlush(request);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
        boolean isAccepted = response.status().equals(HttpResponseStatus.OK);
        complete(isAccepted ? Optional.of(ByteBufUtil.getBytes(response.content())) : Optional.empty());
        ctx.close();
    }

    /** Reports the result of the sync; does nothing if a result was already reported. */
    void complete(Optional<byte[]> peerView) {
        if (!isCompleted) {
            isCompleted = true;
            onResult.accept(peerView);
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
