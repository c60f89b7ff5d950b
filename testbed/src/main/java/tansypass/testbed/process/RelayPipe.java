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
 * One direction of a relayed connection: forwards what it reads, each chunk when the {@link LinkState} releases
 * it. It buffers a bounded number of bytes; past it the sender is not read, as for a full window. Lives on the
 * relay's event loop.
 */
final class RelayPipe extends ChannelInboundHandlerAdapter {
    private static final int MAX_BUFFERED_BYTES = 1 << 18;

    private final Scheduler scheduler;
    private final LinkState linkState;
    private final Channel source;
    private final Channel sink;
    private final Direction direction;
    /** Read, and not yet in transit because the link is cut. */
    private final Deque<ByteBuf> pending = new ArrayDeque<>();
    /** In transit, with a timer each; a timer releases the oldest, so that the order is kept. */
    private final Deque<Runnable> inTransit = new ArrayDeque<>();

    private RelayPipe reverse;
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
        reverse = pipe;
    }

    /** Starts to read. */
    void startReading() {
        source.config().setAutoRead(true);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        ByteBuf chunk = (ByteBuf) message;
        bufferedBytes += chunk.readableBytes();
        updateReading();
        pending.add(chunk);
        flush();
    }

    /** Forwards what is pending, each chunk in its time, unless the link is cut. */
    void flush() {
        while (!pending.isEmpty() && !linkState.isCut(direction)) {
            ByteBuf chunk = pending.poll();
            runAfterTransit(chunk.readableBytes(), () -> write(chunk));
        }
        if (hasSourceEnded && pending.isEmpty() && !linkState.isCut(direction) && !linkState.isHalfOpen()) {
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

    /** Reads only while there is capacity here and at the receiver. */
    private void updateReading() {
        source.config().setAutoRead(bufferedBytes < MAX_BUFFERED_BYTES && sink.isWritable());
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        reverse.updateReading();
    }

    private void runAfterTransit(int bytes, Runnable task) {
        long nowUs = scheduler.nowUs();
        long transitUs = linkState.dueUs(direction, nowUs, bytes) - nowUs;
        if (transitUs <= 0 && inTransit.isEmpty()) {
            task.run();
        } else {
            inTransit.add(task);
            scheduler.after(transitUs, () -> inTransit.poll().run());
        }
    }

    /** Releases what is pending: both connections are closed. */
    void releasePending() {
        pending.forEach(ReferenceCountUtil::release);
        pending.clear();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        hasSourceEnded = true;
        flush();
    }

    /** The source was reset, which is forwarded as a reset. */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!linkState.isCut(direction) && !linkState.isHalfOpen()) {
            Channels.closeWithReset(sink);
        }
        ctx.close();
    }
}
