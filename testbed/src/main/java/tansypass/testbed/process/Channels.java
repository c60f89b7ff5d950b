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

/** Opens and closes the sockets of the testbed. All are on loopback addresses. */
final class Channels {
    private static final int LISTEN_BACKLOG = 1_024;

    private Channels() {}

    /**
     * Listens. Not to be called on the loop.
     *
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

    /** Listens, from the loop; {@code reads} is whether accepted connections are read at once. */
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

    /** Connects; {@code reads} is whether the connection is read at once. */
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

    /** Closes a connection with a reset. */
    static void closeWithReset(Channel channel) {
        resetOnClose(channel);
        channel.close();
    }

    /** Makes the next close of the connection a reset. */
    static void resetOnClose(Channel channel) {
        try {
            if (channel.isOpen()) {
                channel.config().setOption(ChannelOption.SO_LINGER, 0);
            }
        } catch (ChannelException e) {
            // The peer has just closed it, so that no reset can be sent.
            channel.close();
        }
    }

    /** Returns the address as configuration files have it: host and port. */
    static String formatAddress(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Returns the address that a channel is bound to. */
    static InetSocketAddress localAddress(Channel channel) {
        return (InetSocketAddress) channel.localAddress();
    }
}
