package tansypass.node.upstream;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpObject;
import io.netty.util.ReferenceCountUtil;
import tansypass.balancer.AttemptResult;
import tansypass.node.http.BufferLimiters;

/**
 * One connection to a server, which is idle or carries one attempt. Its {@link UpstreamExchange} writes the request and
 * reads the response. The connection owns the channel and decides whether the channel can be reused. Used on the
 * channel's event loop only.
 */
final class UpstreamConnection extends ChannelInboundHandlerAdapter implements UpstreamExchange.Listener {
    private final UpstreamServer server;
    private final int generation;
    private final Channel channel;
    private final UpstreamExchange exchange;
    /** True if the connection has carried an attempt. Only then can it be in quarantine. */
    private boolean hasCarriedAttempt;

    private long idleSinceNanos;

    /** Creates the connection of a channel that is about to connect, with the server's current generation. */
    UpstreamConnection(UpstreamServer server, int generation, Channel channel, BufferLimiters limiters) {
        this.server = server;
        this.generation = generation;
        this.channel = channel;
        exchange = new UpstreamExchange(channel, server.loop(), limiters, this);
    }

    /** Called when the connection has been established and is available for attempts. */
    void onConnected() {
        server.onConnectSucceeded(generation);
        idleSinceNanos = System.nanoTime();
        release();
    }

    /** Closes the channel. An attempt in flight ends in the same way as on a broken connection. */
    void close() {
        channel.close();
    }

    /** Returns whether the connection carries an attempt. */
    boolean hasAttempt() {
        return exchange.isActive();
    }

    /** Returns whether the response is being relayed as it arrives. */
    boolean isRelaying() {
        return exchange.isRelaying();
    }

    /** Returns the {@link System#nanoTime} at which the connection became idle. */
    long idleSinceNanos() {
        return idleSinceNanos;
    }

    /** Returns whether the connection is open and its idle timeout has not expired. */
    boolean isUsable(long nowNanos) {
        return channel.isActive() && nowNanos - idleSinceNanos <= server.idleTimeoutNanos();
    }

    /** Returns whether the connection is usable and out of quarantine. A new connection has no quarantine. */
    boolean isReusable(long nowNanos) {
        return isUsable(nowNanos) && (!hasCarriedAttempt || nowNanos - idleSinceNanos >= server.quarantineNanos());
    }

    /** Sends the attempt that has waited longest, or makes the connection idle, or closes it if its server is gone. */
    private void release() {
        if (!server.isCurrent(generation)) {
            channel.close();
            return;
        }
        if (!channel.isActive()) {
            return;
        }
        server.endExpiredAttempts();
        boolean hasWaitingAttempts = server.hasWaitingAttempts();
        if (hasWaitingAttempts && isReusable(System.nanoTime())) {
            send(server.removeFirstWaiting());
        } else if (server.isRemoved() && !hasWaitingAttempts) {
            channel.close();
        } else {
            server.addIdle(this);
        }
    }

    /**
     * Sends the attempt's request, or ends the attempt and releases the connection if the request can't be sent. The
     * connection must not carry another attempt.
     */
    void send(UpstreamAttempt attempt) {
        if (!attempt.handler().isSendable()) {
            attempt.end(AttemptResult.NOT_SENT, null);
            release();
            return;
        }
        hasCarriedAttempt = true;
        attempt.assignConnection(this);
        exchange.start(attempt);
    }

    /**
     * Detaches the attempt and closes the connection, which cannot be reused because the response may still arrive.
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

    /** Removes the connection from the server's idle connections, and closes it unless it carries an attempt. */
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
