package tansypass.node.upstream;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

/**
 * Closes an idle connection that receives bytes, and discards the bytes. The handler precedes the codec, because the
 * codec could otherwise keep a part of a response and read it as the start of the next one.
 */
final class UnsolicitedDataHandler extends ChannelInboundHandlerAdapter {
    private final UpstreamConnection connection;

    UnsolicitedDataHandler(UpstreamConnection connection) {
        this.connection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (connection.hasAttempt()) {
            ctx.fireChannelRead(message);
        } else {
            ReferenceCountUtil.release(message);
            connection.discardUnlessBusy();
        }
    }
}
