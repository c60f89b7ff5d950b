package tansypass.cluster.transport;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import tansypass.cluster.membership.Identity;
import tansypass.cluster.membership.MemberListener;
import tansypass.cluster.membership.MembershipEnvironment;
import tansypass.cluster.membership.MembershipSettings;
import tansypass.cluster.membership.MembershipView;
import tansypass.cluster.membership.MessageCodec;
import tansypass.cluster.membership.SwimProtocol;
import tansypass.cluster.runtime.RandomStreams;

/**
 * This process as a member of its cluster: the protocol with an event loop and sockets of its own. Thread-safe, but for
 * the {@link ClusterTransport.Handler} methods, which are called on the event loop.
 */
public final class ClusterMember implements ClusterTransport.Handler {
    private static final long LEAVE_TIMEOUT_MS = 200;
    private static final long PUBLISH_INTERVAL_MS = 100;
    private static final int NANOS_PER_MICRO = 1_000;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final ClusterTransport transport = new ClusterTransport(loop);
    private final MessageCodec codec = new MessageCodec();
    private final InetSocketAddress listenAddress;
    private final SwimProtocol protocol;
    private volatile Optional<MembershipView> view = Optional.empty();
    private volatile long publishedNs;
    private volatile Map<String, Long> counters = Map.of();

    /**
     * Creates a member that has not started.
     *
     * @param listenAddress where it receives what others send to the address of its identity; the same address unless
     *     something translates between the two
     * @param seeds addresses to join through
     * @param seed of its random numbers
     * @param listener called on the event loop with each change of the view
     */
    public ClusterMember(
            MembershipSettings settings,
            Identity self,
            InetSocketAddress listenAddress,
            List<InetSocketAddress> seeds,
            long seed,
            MemberListener listener) {
        this.listenAddress = listenAddress;
        protocol = new SwimProtocol(new MembershipEnvironment(
                settings,
                self,
                seeds,
                new EventLoopScheduler(loop),
                RandomStreams.of(seed, "membership"),
                transport,
                listener));
    }

    /**
     * Opens the sockets and begins to join. Blocks until they are open.
     *
     * @throws ClusterBindException if the address can't be bound
     */
    public void start() throws ClusterBindException {
        transport.open(listenAddress, this);
        loop.execute(() -> {
            protocol.start();
            publish();
        });
        loop.scheduleAtFixedRate(this::publish, PUBLISH_INTERVAL_MS, PUBLISH_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Makes the view and the counters readable from any thread. */
    private void publish() {
        view = Optional.of(protocol.view());
        publishedNs = System.nanoTime();
        counters = protocol.counters().all();
    }

    /** The age of {@link #view}, microseconds; Long.MAX_VALUE before the start. It grows if the loop is blocked. */
    public long viewAgeUs() {
        return view.isEmpty() ? Long.MAX_VALUE : (System.nanoTime() - publishedNs) / NANOS_PER_MICRO;
    }

    /** Announces whether this process serves clients or is draining. */
    public void setServing(boolean serving) {
        loop.execute(() -> protocol.setServing(serving));
    }

    /** The view, normally no older than 100 ms; empty before the start. */
    public Optional<MembershipView> view() {
        return view;
    }

    /** The counters by name, as old as the view. */
    public Map<String, Long> counters() {
        return counters;
    }

    /** Announces that this process leaves, and waits up to 200 ms until the datagrams are sent. */
    public void leave() {
        CountDownLatch sent = new CountDownLatch(1);
        loop.execute(() -> {
            protocol.leave();
            publish();
            sent.countDown();
        });
        try {
            sent.await(LEAVE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Stops without notice to others, closes the sockets and ends the event loop. Blocks until it has ended. */
    public void close() {
        loop.execute(protocol::stop);
        transport.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    @Override
    public void onDatagram(InetSocketAddress from, byte[] datagram) {
        protocol.onDatagram(from, datagram);
    }

    @Override
    public Optional<byte[]> onPushPull(byte[] peerView) {
        return protocol.onPushPull(peerView);
    }

    @Override
    public byte[] viewPage() {
        return codec.encodeViewPage(
                protocol.self(), protocol.view(), protocol.isSuperseded(), protocol.healthMultiplier());
    }
}
