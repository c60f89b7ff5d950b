package tansypass.testbed.process;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import tansypass.cluster.transport.EventLoopScheduler;
import tansypass.config.InvalidConfigException;
import tansypass.testbed.invariant.InvariantChecker;
import tansypass.testbed.scenario.Scenario;
import tansypass.testbed.scenario.ScenarioFile;

/**
 * Measures how many requests per second a {@link LoadGenerator} completes on one thread with a fixed number of open
 * requests. The methods block, so they must not be called on an event loop.
 */
final class RequestRateBenchmark {
    private static final int REQUEST_COUNT = 40_000;
    private static final int MAX_OPEN_REQUESTS = 32;
    private static final int MAX_BODY_BYTES = 1 << 16;
    private static final long REFILL_INTERVAL_US = 50;
    private static final long TIMEOUT_S = 30;
    private static final double NS_PER_S = 1e9;
    private static final String SCENARIO = """
            name = "cost"
            length = "1s"
            [[classes]]
            name = "any"
            repeat = "safe"
            deadline = "30s"
            """;

    private final Scenario scenario = parseScenario();
    private final EventLoop clientLoop;
    private final Channel server;

    /** Starts a server on one event loop, for clients on the other one. */
    RequestRateBenchmark(EventLoop clientLoop, EventLoop serverLoop) throws IOException {
        this.clientLoop = clientLoop;
        server = Channels.listen(serverLoop, new InetSocketAddress("127.0.0.1", 0), RequestRateBenchmark::initServer);
    }

    private static Scenario parseScenario() {
        try {
            return ScenarioFile.parse(SCENARIO, "cost");
        } catch (InvalidConfigException e) {
            throw new IllegalStateException("the benchmark's own scenario is invalid", e);
        }
    }

    private static void initServer(SocketChannel channel) {
        channel.pipeline()
                .addLast(new HttpServerCodec(), new HttpObjectAggregator(MAX_BODY_BYTES), new NotFoundHandler());
    }

    /** Measures the number of requests per second. */
    double measureRequestsPerS() throws InterruptedException, ExecutionException, TimeoutException {
        EventLoopScheduler scheduler = new EventLoopScheduler(clientLoop);
        RunClock clock = new RunClock(scheduler);
        InvariantChecker checker = new InvariantChecker(scenario);
        LoadGenerator clients =
                new LoadGenerator(clientLoop, scheduler, clock, checker, 0, Channels.localAddress(server));
        CompletableFuture<Void> done = new CompletableFuture<>();
        long startNs = System.nanoTime();
        clientLoop.execute(() -> keepRequestsOpen(clients, clock, 0, done));
        done.get(TIMEOUT_S, TimeUnit.SECONDS);
        double elapsedS = (System.nanoTime() - startNs) / NS_PER_S;
        clientLoop.submit(clients::close).get();
        return REQUEST_COUNT / elapsedS;
    }

    private void keepRequestsOpen(LoadGenerator clients, RunClock clock, int sentBefore, CompletableFuture<Void> done) {
        int sent = sentBefore;
        while (clients.openRequestCount() < MAX_OPEN_REQUESTS && sent < REQUEST_COUNT) {
            clients.send(Integer.toHexString(sent++), scenario.classes().get(0), clock.nowUs());
        }
        int sentCount = sent;
        if (sentCount == REQUEST_COUNT && clients.openRequestCount() == 0) {
            done.complete(null);
        } else {
            // A timer, not a task: tasks that are submitted one after another would keep the event loop from serving
            // its sockets.
            clientLoop.schedule(
                    () -> keepRequestsOpen(clients, clock, sentCount, done), REFILL_INTERVAL_US, TimeUnit.MICROSECONDS);
        }
    }

    /** Answers each request with 404 and a short body. */
    private static final class NotFoundHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.NOT_FOUND,
                    Unpooled.copiedBuffer("none", StandardCharsets.US_ASCII));
            int length = response.content().readableBytes();
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
            ctx.writeAndFlush(response);
        }
    }
}
