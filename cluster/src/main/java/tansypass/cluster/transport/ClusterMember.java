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
 * This process as a member of its cluster: the membership protocol with an event loop and sockets of its own.
 * Thread-safe, except for the {@link ClusterTransport.Handler} methods, which are called on the event loop.
 */
public final class ClusterMember implements ClusterTransport.Handler {
    private static final long LEAVE_TIMEOUT_MS = 200;
    private static final long PUBLISH_INTERVAL_MS = 100;
    private static final int NANOS_PER_MICRO = 1_000;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop eventLoop = group.next();
    private final ClusterTransport transport = new ClusterTransport(eventLoop);
    private final MessageCodec codec = new MessageCodec();
    private final InetSocketAddress listenAddress;
    private final SwimProtocol protocol;
    private volatile Optional<MembershipView> view = Optional.empty();
    private volatile long viewPublishedNs;
    private volatile Map<String, Long> counters = Map.of();

    /**
     * Creates a member that has not started.
     *
     * @param listenAddress the address at which this process listens; it differs from the address of the identity only
     *     if addresses are translated in between
     * @param seeds the addresses through which this process joins the cluster
     * @param seed the seed of the random numbers
     * @param listener receives each change of the view, on the event loop
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
                new EventLoopScheduler(eventLoop),
                RandomStreams.of(seed, "membership"),
                transport,
                listener));
    }

    /**
     * Opens the sockets and starts to join the cluster. Blocks until the sockets are open.
     *
     * @throws ClusterBindException if a socket cannot be bound to the listen address
     */
    public void start() throws ClusterBindException {
        transport.open(listenAddress, this);
        eventLoop.execute(() -> {
            protocol.start();
            publish();
        });
        eventLoop.scheduleAtFixedRate(this::publish, PUBLISH_INTERVAL_MS, PUBLISH_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Copies the view and the counters into fields that any thread can read. */
    private void publish() {
        view = Optional.of(protocol.view());
        viewPublishedNs = System.nanoTime();
        counters = protocol.counters().all();
    }

    /**
     * Returns the age of {@link #view} in microseconds; Long.MAX_VALUE before the start. The age grows while the event
     * loop is blocked.
     */
    public long viewAgeUs() {
        return view.isEmpty() ? Long.MAX_VALUE : (System.nanoTime() - viewPublishedNs) / NANOS_PER_MICRO;
    }

    /** Announces to peers whether this process serves clients or is draining. */
    public void setServing(boolean serving) {
        eventLoop.execute(() -> protocol.setServing(serving));
    }

    /** Returns the last published view, which is normally no older than 100 ms; empty before the start. */
    public Optional<MembershipView> view() {
        return view;
    }

    /** Returns the values of the counters by name, as of the time of the last published view. */
    public Map<String, Long> counters() {
        return counters;
    }

    /** Announces that this process leaves the cluster, and waits up to 200 ms until the datagrams are sent. */
    public void leave() {
        CountDownLatch sent = new CountDownLatch(1);
        eventLoop.execute(() -> {
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

    /**
     * Stops the protocol without notice to peers, closes the sockets, and shuts the event loop down. Blocks until the
     * event loop has terminated.
     */
    public void close() {
        eventLoop.execute(protocol::stop);
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
