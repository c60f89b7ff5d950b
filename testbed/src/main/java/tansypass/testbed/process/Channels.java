package tansypass.testbed.process;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.function.Consumer;

/** Opens and closes the sockets of the testbed, all of which have loopback addresses. */
final class Channels {
    private static final int LISTEN_BACKLOG = 1_024;

    private Channels() {}

    /**
     * Listens at an address and waits until it is bound; must not be called on the event loop.
     *
     * @param initializer is called with each accepted connection
     * @throws AddressUnavailableException if the address can't be bound
     */
    static Channel listen(EventLoop loop, InetSocketAddress address, Consumer<SocketChannel> initializer)
            throws AddressUnavailableException {
        ChannelFuture bound = bind(loop, address, true, initializer).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new AddressUnavailableException(
                    "can't listen at " + formatAddress(address) + ": "
                            + bound.cause().getMessage(),
                    bound.cause());
        }
        return bound.channel();
    }

    /**
     * Starts to listen at an address, without waiting; may be called on the event loop.
     *
     * @param autoRead whether accepted connections are read from the start
     */
    static ChannelFuture bind(
            EventLoop loop, InetSocketAddress address, boolean autoRead, Consumer<SocketChannel> initializer) {
        return new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, LISTEN_BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.AUTO_READ, autoRead)
                .childHandler(newInitializer(initializer))
                .bind(address);
    }

    /**
     * Starts to connect to an address, without waiting.
     *
     * @param autoRead whether the connection is read from the start
     */
    static ChannelFuture connect(
            EventLoop loop,
            InetSocketAddress address,
            int timeoutMs,
            boolean autoRead,
            Consumer<SocketChannel> initializer) {
        return new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .disableResolver()
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.AUTO_READ, autoRead)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMs)
                .handler(newInitializer(initializer))
                .connect(address);
    }

    private static ChannelInitializer<SocketChannel> newInitializer(Consumer<SocketChannel> initializer) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                initializer.accept(channel);
            }
        };
    }

    /** Closes a connection with a TCP reset. */
    static void closeWithReset(Channel channel) {
        resetOnClose(channel);
        channel.close();
    }

    /** Configures a connection to send a TCP reset when it is closed. */
    static void resetOnClose(Channel channel) {
        try {
            if (channel.isOpen()) {
                channel.config().setOption(ChannelOption.SO_LINGER, 0);
            }
        } catch (ChannelException e) {
            // The peer has just closed the connection, so a reset can no longer be sent.
            channel.close();
        }
    }

    /** Returns an address in the form of configuration files, {@code host:port}. */
    static String formatAddress(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Returns the local address that a channel is bound to. */
    static InetSocketAddress localAddress(Channel channel) {
        return (InetSocketAddress) channel.localAddress();
    }
}
