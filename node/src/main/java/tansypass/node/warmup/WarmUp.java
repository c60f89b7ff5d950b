package tansypass.node.warmup;

import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import tansypass.balancer.ServerState;
import tansypass.node.configuration.NodeConfig;
import tansypass.node.endpoint.EndpointList;
import tansypass.node.lifecycle.DescriptorLimiter;

/**
 * Synthetic requests to a node before it reports that it is ready. A process that has just started loads classes and
 * runs unoptimised code: the first real requests took up to 0.2 s of processor time each, and those behind them missed
 * their deadlines. A second node with a state of its own sends the requests over real connections to the first one's
 * address, where they are recognised by a token and responded to at once; none of them reaches a web server or the
 * first node's decision module. Used on the event loop only.
 */
public final class WarmUp {
    /**
     * Requests after which the code that each request runs has been compiled: the interpreter checks a method's calls
     * every 128, and requests its compilation beyond 200. More would only delay the start.
     */
    public static final int REQUESTS = 300;

    private static final int CONCURRENT_REQUESTS = 4;
    /** Each connection takes two descriptors, since both ends are in this process: without a bound the start could
     * exhaust a small limit. */
    private static final int MAX_CONNECTIONS = 8;

    private static final int MAX_DESCRIPTORS =
            DescriptorLimiter.RESERVED_DESCRIPTORS + CONCURRENT_REQUESTS + MAX_CONNECTIONS;
    private static final long SEED = 1;
    /** This server sends nothing beyond its responses, so that its connections can be reused at once; with a
     * quarantine a fast machine would have many of them waiting. */
    public static final long SENDER_QUARANTINE_MS = 0;

    private final EventLoop loop;
    private final WarmUpRequestFactory requestFactory;
    private final int requestCount;
    private final long deadlineNs;
    private final Runnable whenDone;
    private final WarmUpSender sender;
    private int sentCount;
    private int responseCount;
    private boolean ended;

    /**
     * Creates a warm-up that has not started.
     *
     * @param sender forwards the requests, with the configuration of {@link #createSenderConfig}; closed at the end
     * @param requestCount how many requests are sent, unless the timeout comes first
     * @param timeoutMs milliseconds from now to the end of the warm-up at the latest
     * @param whenDone runs once at the end, whether all requests were responded to or not
     */
    public WarmUp(
            EventLoop loop,
            WarmUpSender sender,
            WarmUpRequestFactory requestFactory,
            int requestCount,
            long timeoutMs,
            Runnable whenDone) {
        this.loop = loop;
        this.sender = sender;
        this.requestFactory = requestFactory;
        this.requestCount = requestCount;
        this.whenDone = whenDone;
        deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
    }

    /**
     * Returns the configuration of a node whose only web server is the target.
     *
     * @param targetConfig of the node to warm up
     * @param target the address that it listens on for the warm-up
     */
    public static NodeConfig createSenderConfig(NodeConfig targetConfig, InetSocketAddress target) {
        List<String> zones = targetConfig.settings().zones();
        String zone = zones.isEmpty() ? "" : zones.get(0);
        EndpointList.Endpoint server = new EndpointList.Endpoint("self", target, zone, 0, ServerState.READY, 1, 0);
        return new NodeConfig(
                target,
                target,
                null,
                SEED,
                MAX_DESCRIPTORS,
                targetConfig.settings(),
                new EndpointList(0, true, List.of(server)));
    }

    /** Starts the warm-up. */
    public void run() {
        sender.startForWarmUp();
        // A failure of the warm-up must not keep the node from serving.
        loop.schedule(this::end, deadlineNs - System.nanoTime(), TimeUnit.NANOSECONDS);
        for (int i = 0; i < CONCURRENT_REQUESTS; i++) {
            sendNext(new Client());
        }
    }

    private void end() {
        if (!ended) {
            ended = true;
            try {
                sender.close();
            } finally {
                whenDone.run();
            }
        }
    }

    private void sendNext(Client client) {
        if (ended) {
            return;
        }
        if (sentCount == requestCount || System.nanoTime() - deadlineNs > 0) {
            if (responseCount == sentCount) {
                end();
            }
            return;
        }
        client.writeInbound(requestFactory.create(sentCount++));
    }

    /** A client without a socket: what the sending node writes to its channel is a response. */
    private final class Client extends EmbeddedChannel {
        Client() {
            sender.openWarmUpConnection(pipeline());
            pipeline().fireChannelActive();
        }

        @Override
        protected void handleOutboundMessage(Object message) {
            ReferenceCountUtil.release(message);
            responseCount++;
            loop.execute(() -> sendNext(this));
        }
    }
}
