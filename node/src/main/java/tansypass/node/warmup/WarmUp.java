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
 * Sends synthetic requests to a node before the node reports that it is ready. A process that has just started loads
 * classes and runs unoptimised code: without a warm-up, each of the first requests took up to 0.2 s of processor time,
 * and the requests queued behind them missed their deadlines. A second node with its own state sends the synthetic
 * requests over real connections to the first one, which recognises them by a token and responds at once. None of them
 * reaches a web server or the load balancer of the first node. Used on the event loop only.
 */
public final class WarmUp {
    /**
     * The number of requests after which the JIT compiler has compiled the code that every request runs. The
     * interpreter checks a method's invocation count at every 128th call, and requests compilation above a count of
     * 200. More requests would only delay the start.
     */
    public static final int REQUESTS = 300;

    private static final int CONCURRENT_REQUESTS = 4;
    /** The maximum number of connections between the two nodes. Each takes two descriptors, because both ends are in
     * this process; without a maximum, the warm-up could exhaust a small descriptor limit. */
    private static final int MAX_CONNECTIONS = 8;

    private static final int MAX_DESCRIPTORS =
            DescriptorLimiter.RESERVED_DESCRIPTORS + CONCURRENT_REQUESTS + MAX_CONNECTIONS;
    private static final long SEED = 1;
    /** The quarantine of the sending node's connections. None is needed, because the target sends no surplus bytes
     * after a response; with a quarantine, many connections would wait on a fast machine. */
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
     * @param sender the node that sends the requests, configured by {@link #createSenderConfig}; closed at the end
     * @param requestCount the number of requests to send before the timeout
     * @param timeoutMs the time from now after which the warm-up ends at the latest, in milliseconds
     * @param whenDone run once at the end, even if some requests got no response
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
     * Creates the configuration of the sending node, whose only web server is the node to warm up.
     *
     * @param targetConfig the configuration of the node to warm up
     * @param target the address on which the node to warm up listens during the warm-up
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
        // Ends even if requests get no response, because a failed warm-up must not prevent the node from serving.
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

    /** A client without a socket. Each message that the sending node writes to its channel is a response. */
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
