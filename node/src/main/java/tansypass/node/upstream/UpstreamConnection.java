package tansypass.node.upstream;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpObject;
import io.netty.util.ReferenceCountUtil;

/**
 * One connection to a server: idle, or carrying one attempt, whose request and response are an
 * {@link UpstreamExchange}. It owns the channel and decides when it can be used again. It runs on the channel's event
 * loop.
 */
final class UpstreamConnection extends ChannelInboundHandlerAdapter implements UpstreamExchange.Listener {
    private final UpstreamServer server;
    private final int generation;
    private final Channel channel;
    private final UpstreamExchange exchange;
    /** Whether it has carried an attempt. */
    private boolean used;

    private long idleSinceNanos;

    /** Creates the connection of a channel that is about to connect, with the server's present generation. */
    UpstreamConnection(UpstreamServer server, int generation, Channel channel) {
        this.server = server;
        this.generation = generation;
        this.channel = channel;
        exchange = new UpstreamExchange(channel, server.loop(), this);
    }

    /** Makes a connection that has just been established available. */
    void onConnected() {
        server.completeConnect(generation);
        idleSinceNanos = System.nanoTime();
        release();
    }

    /** Closes the channel; an attempt in flight ends as for any broken connection. */
    void close() {
        channel.close();
    }

    /** Returns whether it carries an attempt. */
    boolean hasAttempt() {
        return exchange.isActive();
    }

    /** Returns when it became idle, by {@link System#nanoTime}. */
    long idleSinceNanos() {
        return idleSinceNanos;
    }

    /** Returns whether it is open and within the idle timeout. */
    boolean isUsable(long nowNanos) {
        return channel.isActive() && nowNanos - idleSinceNanos <= server.idleTimeoutNanos();
    }

    /** Returns whether it is usable and out of quarantine; a new connection has no quarantine. */
    boolean isReusable(long nowNanos) {
        return isUsable(nowNanos) && (!used || nowNanos - idleSinceNanos >= server.quarantineNanos());
    }

    /** Carries the attempt that has waited longest, or becomes idle. */
    private void release() {
        if (!server.isCurrent(generation)) {
            channel.close();
            return;
        }
        if (!channel.isActive()) {
            return;
        }
        server.endExpired();
        boolean hasWaiting = server.hasWaiting();
        if (hasWaiting && isReusable(System.nanoTime())) {
            send(server.removeFirstWaiting());
        } else if (server.isRemoved() && !hasWaiting) {
            channel.close();
        } else {
            server.addIdle(this);
        }
    }

    /** Writes the attempt's request; the connection must not be in use. */
    void send(UpstreamAttempt next) {
        used = true;
        next.assignConnection(this);
        exchange.start(next);
    }

    /**
     * Detaches the attempt and closes the connection, which can't be reused: the response may still arrive.
     *
     * @return whether the request had been written completely
     */
    boolean abortAttempt() {
        return exchange.abort();
    }

    @Override
    public void onExchangeComplete(boolean reusable) {
        idleSinceNanos = System.nanoTime();
        if (reusable) {
            channel.config().setAutoRead(true);
            release();
        } else {
            channel.close();
        }
    }

    @Override
    public void onConnectionBroken() {
        discardUnlessBusy();
    }

    /** Removes the connection from the idle ones, and closes it unless it carries an attempt. */
    void discardUnlessBusy() {
        server.removeIdle(this);
        if (!exchange.isActive()) {
            channel.close();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        exchange.onWritabilityChanged();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            exchange.read((HttpObject) message);
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        exchange.onReadComplete();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        exchange.onChannelEnd();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        exchange.onChannelEnd();
    }
}
