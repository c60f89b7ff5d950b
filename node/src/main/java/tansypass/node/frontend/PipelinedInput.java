package tansypass.node.frontend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import tansypass.node.http.HeapBufferLimiter;
import tansypass.node.http.InboundBuffer;
import tansypass.node.http.RequestDecoder;
import tansypass.node.lifecycle.ArrivalEstimator;
import tansypass.node.lifecycle.ReusePortServerChannel;
import tansypass.node.lifecycle.ReusePortServerChannel.AcceptQueueWait;

/**
 * The input that a client sends while an earlier request waits for its response (HTTP pipelining). It owns these
 * bytes until they are processed or cleared. It precedes the decoder in the channel's pipeline for two reasons: it sees
 * bytes before a head is complete, and it keeps queued bytes undecoded, so that reading continues and detects a
 * disconnect. What one read brings behind a request comes back from the decoder. Used on the event loop only.
 */
final class PipelinedInput extends ChannelInboundHandlerAdapter implements RequestDecoder.InputQueue {
    private final ClientConnection connection;
    private final InboundBuffer undecodedBytes;
    private ChannelHandlerContext context;
    /** The earliest time at which the bytes being decoded may have arrived, by {@link System#nanoTime}. */
    private long earliestArrivalNs;

    /** Creates an empty queue whose bytes count against the limiter. */
    PipelinedInput(ClientConnection connection, HeapBufferLimiter memoryLimiter) {
        this.connection = connection;
        undecodedBytes = new InboundBuffer(memoryLimiter);
    }

    /** Returns whether no bytes are queued. */
    boolean isEmpty() {
        return undecodedBytes.isEmpty();
    }

    /** Returns the earliest time at which the bytes being decoded may have arrived, by {@link System#nanoTime}. */
    long earliestArrivalNs() {
        return earliestArrivalNs;
    }

    /** Passes the oldest bytes to the decoder. */
    void processNext() {
        earliestArrivalNs = undecodedBytes.oldestArrivalNs();
        context.fireChannelRead(undecodedBytes.poll());
    }

    @Override
    public boolean canDecode() {
        return !connection.isClosing() && !connection.cannotStartRequest();
    }

    @Override
    public void takeRemainder(ByteBuf input) {
        if (connection.isClosing()) {
            input.skipBytes(input.readableBytes());
        } else {
            undecodedBytes.addFirst(input, earliestArrivalNs);
        }
    }

    /** Drops and releases all queued input. */
    void clear() {
        undecodedBytes.clear();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        connection.onBytesReceived();
        if (connection.isClosing()) {
            ReferenceCountUtil.release(message);
        } else if (connection.hasToQueueInput()) {
            undecodedBytes.add((ByteBuf) message, ArrivalEstimator.earliestArrivalNs());
            if (undecodedBytes.isOverLimit()) {
                connection.onPipelineOverflow();
            }
        } else {
            earliestArrivalNs = takeEarliestArrivalNs();
            ctx.fireChannelRead(message);
        }
    }

    /**
     * Returns the earliest time at which the bytes being read may have arrived. The first bytes of a connection may
     * have waited in the kernel as long as the connection itself.
     */
    private long takeEarliestArrivalNs() {
        long readArrivalNs = ArrivalEstimator.earliestArrivalNs();
        AcceptQueueWait wait =
                context.channel().attr(ReusePortServerChannel.ACCEPT_QUEUE_WAIT).getAndSet(null);
        return wait == null ? readArrivalNs : wait.firstBytesNs(readArrivalNs);
    }
}
