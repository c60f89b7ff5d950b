package tansypass.node.frontend;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import tansypass.node.http.BoundedReceiveAllocator;
import tansypass.node.http.ConnectionBufferLimits;
import tansypass.node.http.HeapBufferLimiter;
import tansypass.node.lifecycle.DescriptorLimiter;
import tansypass.node.lifecycle.ReusePortServerChannel;

/**
 * Accepts client connections. It pauses while there is no capacity for more, and new connections then wait in the
 * kernel's accept queue. It owns the listening channel and the timer of its pauses. Used on the event loop only.
 */
final class ConnectionAcceptor {
    private static final int ACCEPT_QUEUE_LENGTH = 1_024;
    /** The maximum number of reads from one client before the event loop proceeds to the next channel. */
    private static final int MAX_READS_PER_ITERATION = 16;

    private static final long RESUME_RETRY_INTERVAL_MS = 50;

    private final EventLoop loop;
    private final DescriptorLimiter descriptors;
    private final HeapBufferLimiter memoryLimiter;
    private final Consumer<ChannelPipeline> initializer;
    /** The channel that listens on the clients' address; null until {@link #listen} is called. */
    private ReusePortServerChannel listener;

    /**
     * Creates an acceptor that does not listen.
     *
     * @param memoryLimiter bounds how much is read at once
     * @param initializer sets up the pipeline of an accepted connection
     */
    ConnectionAcceptor(
            EventLoop loop,
            DescriptorLimiter descriptors,
            HeapBufferLimiter memoryLimiter,
            Consumer<ChannelPipeline> initializer) {
        this.loop = loop;
        this.descriptors = descriptors;
        this.memoryLimiter = memoryLimiter;
        this.initializer = initializer;
    }

    /** Binds the clients' address; the future fails if that is not possible. */
    ChannelFuture listen(EventLoopGroup group, SocketAddress address) {
        ReusePortServerChannel created = new ReusePortServerChannel();
        listener = created;
        return bind(group, created, address);
    }

    /** Binds an address for the warm-up. Its channel is never paused, and the caller closes it. */
    ChannelFuture listenForWarmUp(EventLoopGroup group, SocketAddress address) {
        return bind(group, new NioServerSocketChannel(), address);
    }

    private ChannelFuture bind(EventLoopGroup group, NioServerSocketChannel channel, SocketAddress address) {
        return new ServerBootstrap()
                .group(group)
                .channelFactory(() -> channel)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_QUEUE_LENGTH)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new AcceptBatchAllocator(ACCEPT_QUEUE_LENGTH, descriptors::clientCapacity))
                // Accepted connections inherit the receive buffer, whose size limits the window from the start.
                .option(ChannelOption.SO_RCVBUF, ConnectionBufferLimits.SOCKET_BUFFER_BYTES)
                .childOption(ChannelOption.SO_SNDBUF, ConnectionBufferLimits.SOCKET_BUFFER_BYTES)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, createReceiveAllocator())
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, ConnectionBufferLimits.WATER_MARK)
                .handler(new DescriptorExhaustionHandler())
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel accepted) {
                        initializer.accept(accepted.pipeline());
                    }
                })
                .bind(address);
    }

    /**
     * Creates an allocator with which a channel is read until nothing is left, and not only until a read does not
     * fill its buffer. A disconnect is therefore seen in the same iteration of the event loop as the bytes sent
     * before it.
     */
    private RecvByteBufAllocator createReceiveAllocator() {
        AdaptiveRecvByteBufAllocator allocator = ConnectionBufferLimits.newAdaptiveAllocator();
        allocator.respectMaybeMoreData(false).maxMessagesPerRead(MAX_READS_PER_ITERATION);
        return new BoundedReceiveAllocator(allocator, memoryLimiter::maxReadBytes);
    }

    /** Returns whether {@link #listen} has been called. */
    boolean hasListener() {
        return listener != null;
    }

    /** Accepts the pending connections, closes the listening channel and runs {@code whenClosed}. */
    void closeAfterAccepting(Runnable whenClosed) {
        listener.closeAfterAccepting(whenClosed);
    }

    /** Pauses accepting until there is capacity. */
    void pause() {
        if (listener != null) {
            listener.pause();
            scheduleResumeRetry();
        }
    }

    /** Resumes accepting if it is paused and there is capacity. */
    void resume() {
        if (listener != null && listener.isOpen() && listener.isPaused() && descriptors.hasClientCapacity()) {
            listener.resume();
        }
    }

    private void scheduleResumeRetry() {
        loop.schedule(this::resumeOrRetryLater, RESUME_RETRY_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Ends the pause if capacity can be reclaimed, and retries later otherwise. The limiter does not report all new
     * capacity: a connection that has become idle since the pause began can be reclaimed.
     */
    private void resumeOrRetryLater() {
        if (listener.isOpen() && listener.isPaused()) {
            if (descriptors.reclaimClientCapacity()) {
                resume();
            } else {
                scheduleResumeRetry();
            }
        }
    }

    /**
     * Pauses accepting when the operating system has no descriptor left, even if the limiter still counts free ones.
     */
    private final class DescriptorExhaustionHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // Without a pause the selector would report the same pending connection over and over.
            pause();
            descriptors.closeIdle();
        }
    }
}
