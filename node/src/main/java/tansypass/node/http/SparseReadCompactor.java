package tansypass.node.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.function.BooleanSupplier;

/**
 * Copies received bytes that fill less than half of their receive buffer to a buffer of their own size, if they are
 * going to be kept. Otherwise a few bytes that wait for a slow receiver would keep a whole receive buffer in memory,
 * many times over if the sender writes small pieces. Used on the channel's event loop only.
 */
public final class SparseReadCompactor extends ChannelInboundHandlerAdapter {
    private static final int MAX_CAPACITY_RATIO = 2;

    private final BooleanSupplier keepsReads;

    /**
     * Creates the handler, which precedes the decoder.
     *
     * @param keepsReads returns whether the bytes that are being read will be kept as they are
     */
    public SparseReadCompactor(BooleanSupplier keepsReads) {
        this.keepsReads = keepsReads;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        ByteBuf received = (ByteBuf) message;
        boolean sparse = received.readableBytes() * MAX_CAPACITY_RATIO < received.capacity();
        ctx.fireChannelRead(sparse && keepsReads.getAsBoolean() ? copyAndRelease(ctx, received) : received);
    }

    private static ByteBuf copyAndRelease(ChannelHandlerContext ctx, ByteBuf received) {
        ByteBuf copy = ctx.alloc().ioBuffer(received.readableBytes());
        copy.writeBytes(received);
        received.release();
        return copy;
    }
}
