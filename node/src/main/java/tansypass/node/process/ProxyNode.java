package tansypass.node.process;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.Promise;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import tansypass.balancer.BalancerSettings;
import tansypass.balancer.LoadBalancer;
import tansypass.balancer.RequestClass;
import tansypass.balancer.WeightedTwoChoicesLoadBalancer;
import tansypass.node.admin.NodeMetrics;
import tansypass.node.balancing.BalancerExecutor;
import tansypass.node.balancing.EndpointListAdapter;
import tansypass.node.configuration.NodeConfig;
import tansypass.node.frontend.ClientRequestParser;
import tansypass.node.frontend.HttpFrontend;
import tansypass.node.http.BufferLimiters;
import tansypass.node.lifecycle.DescriptorLimiter;
import tansypass.node.lifecycle.DirectMemory;
import tansypass.node.lifecycle.EventLoopMonitor;
import tansypass.node.lifecycle.HeapMemory;
import tansypass.node.lifecycle.Lifecycle;
import tansypass.node.logging.LogEvent;
import tansypass.node.request.RequestDispatcher;
import tansypass.node.upstream.UpstreamConnectionPool;
import tansypass.node.warmup.WarmUp;
import tansypass.node.warmup.WarmUpRequestFactory;
import tansypass.node.warmup.WarmUpSender;

/**
 * A node: creates its parts, starts them and stops them. Methods must be called on its event loop unless their
 * comments say otherwise.
 */
public final class ProxyNode implements WarmUpSender {
    private static final Logger LOG = System.getLogger(ProxyNode.class.getName());

    /**
     * The time for which a stopping node accepts connections. Clients connect for up to 0.4 s after SIGTERM, and their
     * requests follow at once.
     */
    private static final long ACCEPT_WHILE_STOPPING_MS = 600;

    private static final long DRAIN_CHECK_INTERVAL_MS = 5;
    /** SIGKILL follows SIGTERM after the longest deadline or this time, whichever is less, and a grace period. */
    private static final long MAX_DEADLINE_BEFORE_KILL_MS = 3_000;

    /** The grace period before SIGKILL. */
    private static final long KILL_GRACE_MS = 700;
    /** The time reserved before SIGKILL for writing the last responses. */
    private static final long STOP_MARGIN_MS = 50;
    /** The time limit of the warm-up, which a slow machine may exceed. A partly warmed-up node can serve. */
    private static final long WARM_UP_TIMEOUT_MS = 2_500;

    /** The shortest time for which the event loop is busy that is logged: the longest hold-up that rules allow for. */
    private static final long EVENT_LOOP_BLOCKED_MS = 150;

    private static final long US_PER_MS = 1_000;

    private final NodeConfig config;
    private final EventLoop loop;
    private final Lifecycle lifecycle = new Lifecycle();
    private final NodeMetrics metrics;
    private final BalancerExecutor balancer;
    private final UpstreamConnectionPool pool;
    private final EndpointListAdapter endpoints;
    private final RequestDispatcher dispatcher;
    private final HttpFrontend frontend;

    /** Creates a node that is not started. May be called from any thread. */
    public ProxyNode(NodeConfig config, EventLoop loop) {
        this(config, loop, UpstreamConnectionPool.QUARANTINE_MS);
    }

    /**
     * Creates a node that is not started.
     *
     * @param quarantineMs milliseconds from a response until its upstream connection may be used again
     */
    private ProxyNode(NodeConfig config, EventLoop loop, long quarantineMs) {
        this.config = config;
        this.loop = loop;
        BalancerSettings settings = config.settings();
        metrics = new NodeMetrics(
                settings.classes().stream().map(RequestClass::name).toList());
        balancer = new BalancerExecutor(loop, metrics);
        DescriptorLimiter descriptors = new DescriptorLimiter(config.maxDescriptors());
        BufferLimiters limiters = new BufferLimiters(DirectMemory.limitBytes(), descriptors.maxClients());
        pool = new UpstreamConnectionPool(
                loop, descriptors, limiters, settings.connectTimeoutUs(), settings.connectionIdleUs(), quarantineMs);
        endpoints = new EndpointListAdapter(config, loop, balancer, pool);
        dispatcher = new RequestDispatcher(balancer, pool, endpoints, metrics);
        balancer.setBalancer(new WeightedTwoChoicesLoadBalancer(settings, config.seed(), dispatcher));
        frontend = new HttpFrontend(
                loop, descriptors, limiters, new ClientRequestParser(settings), lifecycle, metrics, dispatcher::accept);
    }

    /**
     * Creates the node that sends the requests of another node's warm-up. May be called from any thread.
     *
     * @param targetConfig the configuration of the node to warm up
     * @param target the address on which that node listens for the warm-up
     */
    public static WarmUpSender newWarmUpSender(NodeConfig targetConfig, InetSocketAddress target, EventLoop loop) {
        return new ProxyNode(WarmUp.createSenderConfig(targetConfig, target), loop, WarmUp.SENDER_QUARANTINE_MS);
    }

    /**
     * Applies the endpoint list of the configuration, warms up, and then listens on the clients' address.
     *
     * @param warmUpRequests the number of requests of the warm-up
     * @return a promise of the listening channel, which fails if the node can't listen and is cancelled if the
     *     node is stopped before that
     */
    public Promise<Channel> start(EventLoopGroup group, int warmUpRequests) {
        Promise<Channel> ready = loop.newPromise();
        endpoints.start();
        // The warm-up has a port of its own: another process may still listen on the clients' address, and would get
        // some of the warm-up's requests.
        ChannelFuture binding = frontend.listenForWarmUp(
                group, new InetSocketAddress(config.listen().getAddress(), 0));
        binding.addListener(bound -> {
            if (bound.isSuccess()) {
                warmUp(binding.channel(), warmUpRequests, () -> listen(group, ready));
            } else {
                ready.setFailure(bound.cause());
            }
        });
        return ready;
    }

    private void warmUp(Channel listener, int requests, Runnable whenWarm) {
        String token = Long.toHexString(new SplittableRandom(config.seed()).nextLong());
        frontend.setWarmUpToken(token);
        InetSocketAddress address = (InetSocketAddress) listener.localAddress();
        Runnable whenDone = () -> {
            listener.close();
            whenWarm.run();
        };
        new WarmUp(
                        loop,
                        newWarmUpSender(config, address, loop),
                        new WarmUpRequestFactory(config.settings(), token),
                        requests,
                        WARM_UP_TIMEOUT_MS,
                        whenDone)
                .run();
    }

    private void listen(EventLoopGroup group, Promise<Channel> ready) {
        if (lifecycle.state() == Lifecycle.State.STOPPING) {
            // The node was stopped during the warm-up, and never listens for clients.
            ready.cancel(false);
            return;
        }
        // The first log line costs 50 ms of processor time, which clients must not wait for.
        LOG.log(
                Level.INFO,
                LogEvent.WARM_UP_COMPLETE.line(
                        config.initialEndpoints().endpoints().size()));
        ChannelFuture binding = frontend.listen(group, config.listen());
        binding.addListener(bound -> {
            if (bound.isSuccess()) {
                EventLoopMonitor.setListener(this::onEventLoopBusy);
                lifecycle.markStarted();
                ready.setSuccess(binding.channel());
            } else {
                ready.setFailure(bound.cause());
            }
        });
    }

    private void onEventLoopBusy(long busyNs) {
        long busyMs = TimeUnit.NANOSECONDS.toMillis(busyNs);
        if (busyMs == 0) {
            return;
        }
        metrics.recordEventLoopBusy(busyMs);
        if (busyMs >= EVENT_LOOP_BLOCKED_MS) {
            LOG.log(
                    Level.WARNING,
                    LogEvent.EVENT_LOOP_BLOCKED.line(busyMs, DirectMemory.allocatedBytes(), HeapMemory.usedBytes()));
        }
    }

    /** Returns the node's counters. May be called and read from any thread. */
    public NodeMetrics metrics() {
        return metrics;
    }

    /** Returns the node's serving state. May be called and changed from any thread. */
    public Lifecycle lifecycle() {
        return lifecycle;
    }

    @Override
    public void startForWarmUp() {
        endpoints.startWithoutWatch();
    }

    @Override
    public void openWarmUpConnection(ChannelPipeline pipeline) {
        frontend.addClientHandlers(pipeline);
    }

    /** Ends all requests and releases timers and connections. Only for a node that has not served clients. */
    @Override
    public void close() {
        balancer.close();
        dispatcher.close();
        endpoints.close();
        frontend.close();
        pool.close();
    }

    /** Applies the discovery agent's address, which is the only setting that may change without a restart. */
    public void reload(NodeConfig changed) {
        LOG.log(Level.INFO, LogEvent.CONFIGURATION_RELOADED.line(changed.discovery()));
        endpoints.setDiscoveryAddress(changed.discovery());
    }

    /**
     * Reports a change of the cluster's size to the load balancer, see {@link LoadBalancer#onClusterSize}. May be
     * called from any thread.
     */
    public void onClusterSize(int present, int lost) {
        balancer.executeOnLoop(b -> b.onClusterSize(balancer.nowUs(), present, lost));
    }

    /**
     * Shuts down gracefully: stops accepting connections after a grace period, and runs {@code whenStopped} when all
     * requests have their responses. A request without a response after {@link #stopTimeoutMs} gets an error, before
     * the process may be killed.
     */
    public void stop(Runnable whenStopped) {
        lifecycle.stop();
        loop.schedule(
                () -> frontend.stopAccepting(() -> runWhenDrained(whenStopped)),
                ACCEPT_WHILE_STOPPING_MS,
                TimeUnit.MILLISECONDS);
        loop.schedule(dispatcher::failUnanswered, stopTimeoutMs(), TimeUnit.MILLISECONDS);
    }

    /**
     * Returns the milliseconds from SIGTERM to SIGKILL, less a margin for the last responses. May be called from any
     * thread.
     */
    public long stopTimeoutMs() {
        long longestDeadlineUs = config.settings().classes().stream()
                .mapToLong(RequestClass::deadlineUs)
                .max()
                .orElse(0);
        return Math.min(MAX_DEADLINE_BEFORE_KILL_MS, longestDeadlineUs / US_PER_MS) + KILL_GRACE_MS - STOP_MARGIN_MS;
    }

    private void runWhenDrained(Runnable action) {
        if (frontend.isDrained()) {
            action.run();
        } else {
            loop.schedule(() -> runWhenDrained(action), DRAIN_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }
}
