package tansypass.cluster.transport;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;

/** Passes received datagrams to the membership protocol. */
final class DatagramHandler extends SimpleChannelInboundHandler<DatagramPacket> {
    private final ClusterTransport.Handler handler;

    DatagramHandler(ClusterTransport.Handler handler) {
        this.handler = handler;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
        handler.onDatagram(packet.sender(), ByteBufUtil.getBytes(packet.content()));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        // The address of an earlier datagram has no listener. The socket is not connected, so reading can continue.
        ctx.read();
    }
}
