package tansypass.cluster.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import tansypass.cluster.membership.MessageCodec;
import tansypass.cluster.membership.Network;

/**
 * The sockets of one process for the membership protocol: UDP for datagrams, and HTTP/1.1 with JSON for push-pull
 * syncs, both at the same address. Confined to one event loop, which serves no clients. The size of a message, the
 * number of concurrent connections and the duration of a connection are limited.
 */
public final class ClusterTransport implements Network {
    /** The path to which push-pull syncs are posted. */
    public static final String PUSH_PULL_PATH = "/fleet/v1/exchange";
    /** The path at which operators get the view of a process. */
    public static final String VIEW_PATH = "/fleet/v1/view";

    /**
     * The limit for opening a connection, for waiting for a response, and for the duration of an inbound connection.
     */
    private static final int TIMEOUT_MS = 1_000;

    private static final int MAX_INBOUND_CONNECTIONS = 64;
    private static final int MAX_OUTBOUND_CALLS = 16;
    private static final int RECEIVE_BUFFER_BYTES = 1 << 20;

    private final EventLoop eventLoop;
    private final Set<Channel> inboundConnections = new HashSet<>();
    private InetSocketAddress localAddress;
    private Channel datagramChannel;
    private Channel serverChannel;
    private int outboundCalls;

    /** Handles datagrams and requests from other processes. The methods are called on the event loop. */
    public interface Handler {
        /**
         * Handles a datagram.
         *
         * @param from the address of the sender, to which a response is sent
         */
        void onDatagram(InetSocketAddress from, byte[] datagram);

        /**
         * Merges the view of a peer and returns the view of this process; empty if the view of the peer is rejected.
         */
        Optional<byte[]> onPushPull(byte[] peerView);

        /** Returns the view page for operators, as JSON. */
        byte[] viewPage();
    }

    /** Creates a transport whose sockets are not open yet. */
    public ClusterTransport(EventLoop eventLoop) {
        this.eventLoop = eventLoop;
    }

    /**
     * Opens both sockets. Must not be called on the event loop, because it blocks until both are bound.
     *
     * @throws ClusterBindException if a socket cannot be bound
     */
    public void open(InetSocketAddress address, Handler handler) throws ClusterBindException {
        // Push-pull syncs have the same source host as datagrams, by which peers can identify the sender.
        localAddress = new InetSocketAddress(address.getAddress(), 0);
        ChannelFuture datagramBind = bindDatagrams(address, handler).awaitUninterruptibly();
        if (!datagramBind.isSuccess()) {
            throw new ClusterBindException("UDP", address, datagramBind.cause());
        }
        datagramChannel = datagramBind.channel();
        ChannelFuture serverBind = bindServer(address, handler).awaitUninterruptibly();
        if (!serverBind.isSuccess()) {
            datagramChannel.close();
            throw new ClusterBindException("TCP", address, serverBind.cause());
        }
        serverChannel = serverBind.channel();
    }

    private ChannelFuture bindDatagrams(InetSocketAddress address, Handler handler) {
        // The buffer has one byte more than a datagram may have. A longer datagram is truncated to that length, by
        // which the codec still detects that it is too long.
        FixedRecvByteBufAllocator receiveBuffers = new FixedRecvByteBufAllocator(MessageCodec.MAX_DATAGRAM_BYTES + 1);
        return new Bootstrap()
                .group(eventLoop)
                .channel(NioDatagramChannel.class)
                .option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
                .option(ChannelOption.RECVBUF_ALLOCATOR, receiveBuffers)
                .handler(new DatagramHandler(handler))
                .bind(address);
    }

    private ChannelFuture bindServer(InetSocketAddress address, Handler handler) {
        return new ServerBootstrap()
                .group(eventLoop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        acceptConnection(channel, handler);
                    }
                })
                .bind(address);
    }

    /** Closes the sockets, if they are open, and all inbound connections. */
    public void close() {
        closeIfOpened(datagramChannel);
        closeIfOpened(serverChannel);
        eventLoop.execute(() -> Set.copyOf(inboundConnections).forEach(Channel::close));
    }

    private static void closeIfOpened(Channel channel) {
        if (channel != null) {
            channel.close();
        }
    }

    private void acceptConnection(SocketChannel channel, Handler handler) {
        if (inboundConnections.size() >= MAX_INBOUND_CONNECTIONS) {
            channel.close();
            return;
        }
        inboundConnections.add(channel);
        channel.closeFuture().addListener(closed -> inboundConnections.remove(channel));
        eventLoop.schedule(() -> channel.close(), TIMEOUT_MS, TimeUnit.MILLISECONDS);
        channel.pipeline()
                .addLast(
                        new HttpServerCodec(),
                        new HttpObjectAggregator(MessageCodec.MAX_VIEW_BYTES, true),
                        new ClusterRequestHandler(handler));
    }

    @Override
    public void send(InetSocketAddress to, byte[] datagram) {
        datagramChannel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(datagram), to));
    }

    /** Starts a push-pull sync. The result is also empty if too many syncs are already in flight. */
    @Override
    public void pushPull(InetSocketAddress to, byte[] view, Consumer<Optional<byte[]>> onResult) {
        if (outboundCalls >= MAX_OUTBOUND_CALLS) {
            eventLoop.execute(() -> onResult.accept(Optional.empty()));
            return;
        }
        outboundCalls++;
        PushPullCall call = new PushPullCall(view, peerView -> {
            outboundCalls--;
            onResult.accept(peerView);
        });
        new Bootstrap()
                .group(eventLoop)
                .channel(NioSocketChannel.class)
                .disableResolver()
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, TIMEOUT_MS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(
                                        new ReadTimeoutHandler(TIMEOUT_MS, TimeUnit.MILLISECONDS),
                                        new HttpClientCodec(),
                                        new HttpObjectAggregator(MessageCodec.MAX_VIEW_BYTES),
                                        call);
                    }
                })
                .connect(to, localAddress)
                .addListener(connected -> {
                    if (!connected.isSuccess()) {
                        call.complete(Optional.empty());
                    }
                });
    }
}
