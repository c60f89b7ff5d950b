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
 * The cluster's sockets of one process: datagrams by UDP, and push-pull syncs as HTTP/1.1 with JSON, both at one
 * address. Confined to one event loop, which serves no clients. Input is bounded: the bytes of a message, the number of
 * concurrent connections, and the duration of each.
 */
public final class ClusterTransport implements Network {
    /** Where push-pull syncs are posted. */
    public static final String PUSH_PULL_PATH = "/fleet/v1/exchange";
    /** Where operators get a process's view. */
    public static final String VIEW_PATH = "/fleet/v1/view";

    /** Of connecting, of a response, and of a connection that another process opened. */
    private static final int TIMEOUT_MS = 1_000;

    private static final int MAX_INBOUND_CONNECTIONS = 64;
    private static final int MAX_OUTBOUND_CALLS = 16;
    private static final int RECEIVE_BUFFER_BYTES = 1 << 20;

    private final EventLoop loop;
    private final Set<Channel> inboundConnections = new HashSet<>();
    private InetSocketAddress localAddress;
    private Channel datagramChannel;
    private Channel serverChannel;
    private int outboundCalls;

    /** Handles what is received; called on the event loop. */
    public interface Handler {
        /**
         * A datagram was received.
         *
         * @param from the address to which a response is sent
         */
        void onDatagram(InetSocketAddress from, byte[] datagram);

        /** A peer pushed its view; returns this process's own; empty if the peer's is rejected. */
        Optional<byte[]> onPushPull(byte[] peerView);

        /** Returns the page for operators, as JSON. */
        byte[] viewPage();
    }

    /** Creates a transport whose sockets are not open. */
    public ClusterTransport(EventLoop loop) {
        this.loop = loop;
    }

    /**
     * Opens both sockets. Blocks until they are bound, so it must not be called on the event loop.
     *
     * @throws ClusterBindException if one can't be bound
     */
    public void open(InetSocketAddress address, Handler handler) throws ClusterBindException {
        // Push-pull syncs are sent from the same host as datagrams, so that peers can identify the sender by it.
        localAddress = new InetSocketAddress(address.getAddress(), 0);
        ChannelFuture datagramBind = bindDatagrams(address, handler).awaitUninterruptibly();
        if (!datagramBind.isSuccess()) {
            throw new ClusterBindException("take datagrams", address, datagramBind.cause());
        }
        datagramChannel = datagramBind.channel();
        ChannelFuture serverBind = bindServer(address, handler).awaitUninterruptibly();
        if (!serverBind.isSuccess()) {
            datagramChannel.close();
            throw new ClusterBindException("listen", address, serverBind.cause());
        }
        serverChannel = serverBind.channel();
    }

    private ChannelFuture bindDatagrams(InetSocketAddress address, Handler handler) {
        // One byte more than allowed: a longer datagram is truncated, and still seen to be too long.
        FixedRecvByteBufAllocator receiveBuffers = new FixedRecvByteBufAllocator(MessageCodec.MAX_DATAGRAM_BYTES + 1);
        return new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
                .option(ChannelOption.RECVBUF_ALLOCATOR, receiveBuffers)
                .handler(new DatagramHandler(handler))
                .bind(address);
    }

    private ChannelFuture bindServer(InetSocketAddress address, Handler handler) {
        return new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        admit(channel, handler);
                    }
                })
                .bind(address);
    }

    /** Closes the sockets that are open and all connections that others opened. */
    public void close() {
        closeIfOpened(datagramChannel);
        closeIfOpened(serverChannel);
        loop.execute(() -> Set.copyOf(inboundConnections).forEach(Channel::close));
    }

    private static void closeIfOpened(Channel channel) {
        if (channel != null) {
            channel.close();
        }
    }

    private void admit(SocketChannel channel, Handler handler) {
        if (inboundConnections.size() >= MAX_INBOUND_CONNECTIONS) {
            channel.close();
            return;
        }
        inboundConnections.add(channel);
        channel.closeFuture().addListener(closed -> inboundConnections.remove(channel));
        loop.schedule(() -> channel.close(), TIMEOUT_MS, TimeUnit.MILLISECONDS);
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

    /** The result is empty also if too many syncs are in flight already. */
    @Override
    public void pushPull(InetSocketAddress to, byte[] view, Consumer<Optional<byte[]>> onResult) {
        if (outboundCalls >= MAX_OUTBOUND_CALLS) {
            loop.execute(() -> onResult.accept(Optional.empty()));
            return;
        }
        outboundCalls++;
        PushPullCall call = new PushPullCall(view, peerView -> {
            outboundCalls--;
            onResult.accept(peerView);
        });
        new Bootstrap()
                .group(loop)
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
