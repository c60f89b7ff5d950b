package tansypass.node.frontend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpObject;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import tansypass.node.http.BodyMemoryLimiter;
import tansypass.node.http.InboundBuffer;
import tansypass.node.lifecycle.ArrivalEstimator;
import tansypass.node.lifecycle.ReusePortServerChannel;
import tansypass.node.lifecycle.ReusePortServerChannel.AcceptQueueWait;

/**
 * The input that a client sends while an earlier request waits for its response (HTTP pipelining). It owns these
 * bytes and messages until they are processed or cleared. It precedes the decoder in the channel's pipeline for two
 * reasons: it sees bytes before a head is complete, and it keeps queued bytes undecoded, so that reading continues
 * and detects a disconnect. Used on the event loop only.
 */
final class PipelinedInput extends ChannelInboundHandlerAdapter {
    /** A decoded message and the earliest time at which it may have arrived, by {@link System#nanoTime}. */
    private record PipelinedMessage(HttpObject message, long earliestArrivalNs) {}

    private final ClientConnection connection;
    /** The messages that were decoded from the same read as the request that is being served. */
    private final Deque<PipelinedMessage> decodedMessages = new ArrayDeque<>();

    private final InboundBuffer undecodedBytes;
    private ChannelHandlerContext context;
    /** The earliest time at which the bytes being decoded may have arrived, by {@link System#nanoTime}. */
    private long earliestArrivalNs;

    /** Creates an empty queue whose bytes count against the limiter. */
    PipelinedInput(ClientConnection connection, BodyMemoryLimiter memoryLimiter) {
        this.connection = connection;
        undecodedBytes = new InboundBuffer(memoryLimiter);
    }

    /** Returns whether neither messages nor bytes are queued. */
    boolean isEmpty() {
        return decodedMessages.isEmpty() && undecodedBytes.isEmpty();
    }

    /** Returns whether decoded messages are queued. */
    boolean hasMessages() {
        return !decodedMessages.isEmpty();
    }

    /** Returns the earliest time at which the bytes being decoded may have arrived, by {@link System#nanoTime}. */
    long earliestArrivalNs() {
        return earliestArrivalNs;
    }

    /** Appends a message that has just been decoded, and takes over its reference. */
    void addMessage(HttpObject message) {
        decodedMessages.add(new PipelinedMessage(message, earliestArrivalNs));
    }

    /** Passes the oldest message to the reader or, if there is no message, the oldest bytes to the decoder. */
    void processNext(RequestReader reader) {
        if (decodedMessages.isEmpty()) {
            earliestArrivalNs = undecodedBytes.oldestArrivalNs();
            context.fireChannelRead(undecodedBytes.poll());
        } else {
            PipelinedMessage next = decodedMessages.poll();
            reader.read(next.message, next.earliestArrivalNs);
        }
    }

    /** Drops and releases all queued input. */
    void clear() {
        decodedMessages.forEach(pipelined -> ReferenceCountUtil.release(pipelined.message));
        decodedMessages.clear();
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
