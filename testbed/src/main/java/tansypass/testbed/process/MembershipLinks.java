package tansypass.testbed.process;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import tansypass.cluster.runtime.RandomStreams;
import tansypass.cluster.runtime.Scheduler;
import tansypass.testbed.model.LinkMatrix;
import tansypass.testbed.model.LinkState;
import tansypass.testbed.scenario.Scenario.Fault;

/**
 * The links between nodes as members of a cluster. Each node advertises a proxy address, which the testbed owns.
 * Datagrams and connections that arrive there from another node's host are forwarded to the node itself; datagrams
 * appear to come from the sender's proxy address. All traffic between two nodes thus passes through the testbed
 * without the nodes being aware of it. Used only on one event loop, except for {@link #openProxy}.
 */
final class MembershipLinks {
    private final EventLoop loop;
    private final Scheduler scheduler;
    private final LinkMatrix linkMatrix;
    private final long seed;
    private final List<InetSocketAddress> nodeAddresses = new ArrayList<>();
    private final Map<String, Integer> nodeByHost = new HashMap<>();
    private final List<Channel> proxyChannels = new ArrayList<>();
    /** The relays of push-pull syncs, by {@code from>to} with the numbers of the nodes. */
    private final Map<String, Relay> relays = new HashMap<>();

    MembershipLinks(EventLoop loop, Scheduler scheduler, long seed) {
        this.loop = loop;
        this.scheduler = scheduler;
        this.seed = seed;
        linkMatrix = new LinkMatrix(seed, (from, to) -> 0);
    }

    /**
     * Opens the proxy address of the next node; must not be called on the event loop, because it waits.
     *
     * @param nodeAddress the address at which the node itself listens
     */
    void openProxy(InetSocketAddress proxyAddress, InetSocketAddress nodeAddress) throws AddressUnavailableException {
        int number = nodeAddresses.size();
        nodeAddresses.add(nodeAddress);
        nodeByHost.put(nodeAddress.getAddress().getHostAddress(), number);
        ChannelFuture bound = new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .handler(new DatagramForwarder(number))
                .bind(proxyAddress)
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new AddressUnavailableException(
                    "can't receive datagrams at " + proxyAddress + ": "
                            + bound.cause().getMessage(),
                    bound.cause());
        }
        proxyChannels.add(bound.channel());
        Channels.listen(loop, proxyAddress, channel -> accept(number, channel));
    }

    /** Begins or ends a fault on the link between two nodes; must be called on the event loop. */
    void applyFault(int first, int second, Fault fault, boolean begins) {
        linkMatrix.apply(first, second, fault, begins);
        if (!fault.kind().affectsOnlyDatagrams()) {
            findOrCreateRelay(first, second).applyFault(fault, begins);
            findOrCreateRelay(second, first)
                    .applyFault(fault.withDirection(fault.direction().reversed()), begins);
        }
    }

    private Relay findOrCreateRelay(int from, int to) {
        return relays.computeIfAbsent(
                from + ">" + to,
                name -> new Relay(
                        loop,
                        scheduler,
                        new LinkState(0, RandomStreams.of(seed, "exchange-" + name)),
                        nodeAddresses.get(to)));
    }

    private void accept(int to, SocketChannel channel) {
        Integer from = nodeByHost.get(channel.remoteAddress().getAddress().getHostAddress());
        if (from == null) {
            channel.close();
        } else {
            findOrCreateRelay(from, to).accept(channel);
        }
    }

    /** Forwards the datagrams that arrive at the proxy address of one node. */
    private final class DatagramForwarder extends SimpleChannelInboundHandler<DatagramPacket> {
        private final int to;

        DatagramForwarder(int to) {
            this.to = to;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            Integer sendingNode = nodeByHost.get(packet.sender().getAddress().getHostAddress());
            if (sendingNode == null) {
                return;
            }
            long nowUs = scheduler.nowUs();
            for (long dueUs : linkMatrix.datagramDueUs(
                    sendingNode, to, nowUs, packet.content().readableBytes())) {
                ByteBuf copy = packet.content().copy();
                Runnable forward = () ->
                        proxyChannels.get(sendingNode).writeAndFlush(new DatagramPacket(copy, nodeAddresses.get(to)));
                if (dueUs <= nowUs) {
                    forward.run();
                } else {
                    scheduler.after(dueUs - nowUs, forward);
                }
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // The receiving node does not listen now. There is no connection to close; continue with the next datagram.
            ctx.read();
        }
    }
}
