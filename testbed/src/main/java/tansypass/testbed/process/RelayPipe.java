package tansypass.testbed.process;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import tansypass.cluster.runtime.Scheduler;
import tansypass.testbed.model.LinkState;
import tansypass.testbed.model.LinkState.Direction;

/**
 * One direction of a relayed connection. It forwards each chunk that it reads after the transit time that the
 * {@link LinkState} determines. It buffers a bounded number of bytes: when the buffer is full it stops reading, which
 * has the effect of a full TCP window on the sender. Used only on the relay's event loop.
 */
final class RelayPipe extends ChannelInboundHandlerAdapter {
    private static final int MAX_BUFFERED_BYTES = 1 << 18;

    private final Scheduler scheduler;
    private final LinkState linkState;
    private final Channel source;
    private final Channel sink;
    private final Direction direction;
    /** Chunks that were read but are not in transit yet, because the link is cut. */
    private final Deque<ByteBuf> pendingChunks = new ArrayDeque<>();
    /**
     * The deliveries of chunks, and of the end of the stream, that are in transit. Each has a timer, and each timer
     * runs the oldest delivery, which preserves the order.
     */
    private final Deque<Runnable> deliveriesInTransit = new ArrayDeque<>();

    private RelayPipe reversePipe;
    private int bufferedBytes;
    private boolean hasSourceEnded;

    RelayPipe(Scheduler scheduler, LinkState linkState, Channel source, Channel sink, Direction direction) {
        this.scheduler = scheduler;
        this.linkState = linkState;
        this.source = source;
        this.sink = sink;
        this.direction = direction;
    }

    /** Sets the pipe of the other direction. */
    void setReverse(RelayPipe pipe) {
        reversePipe = pipe;
    }

    /** Starts to read from the source. */
    void startReading() {
        source.config().setAutoRead(true);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        ByteBuf chunk = (ByteBuf) message;
        bufferedBytes += chunk.readableBytes();
        updateReading();
        pendingChunks.add(chunk);
        flush();
    }

    /** Puts the pending chunks in transit unless the link is cut; afterwards the end of the stream, if it was read. */
    void flush() {
        while (!pendingChunks.isEmpty() && !linkState.isCut(direction)) {
            ByteBuf chunk = pendingChunks.poll();
            runAfterTransit(chunk.readableBytes(), () -> write(chunk));
        }
        if (hasSourceEnded && pendingChunks.isEmpty() && !linkState.isCut(direction) && !linkState.isHalfOpen()) {
            runAfterTransit(0, sink::close);
        }
    }

    private void write(ByteBuf chunk) {
        bufferedBytes -= chunk.readableBytes();
        if (sink.isActive()) {
            sink.writeAndFlush(chunk);
        } else {
            ReferenceCountUtil.release(chunk);
        }
        updateReading();
    }

    /** Reads only while the buffer has space and the sink accepts more bytes. */
    private void updateReading() {
        source.config().setAutoRead(bufferedBytes < MAX_BUFFERED_BYTES && sink.isWritable());
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        reversePipe.updateReading();
    }

    private void runAfterTransit(int bytes, Runnable delivery) {
        long nowUs = scheduler.nowUs();
        long transitUs = linkState.dueUs(direction, nowUs, bytes) - nowUs;
        if (transitUs <= 0 && deliveriesInTransit.isEmpty()) {
            delivery.run();
        } else {
            deliveriesInTransit.add(delivery);
            scheduler.after(transitUs, () -> deliveriesInTransit.poll().run());
        }
    }

    /** Releases the pending chunks; called when both connections are closed. */
    void releasePendingChunks() {
        pendingChunks.forEach(ReferenceCountUtil::release);
        pendingChunks.clear();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        hasSourceEnded = true;
        flush();
    }

    /** Forwards a reset of the source as a reset of the sink. */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!linkState.isCut(direction) && !linkState.isHalfOpen()) {
            Channels.closeWithReset(sink);
        }
        ctx.close();
    }
}
