package tansypass.node.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import tansypass.balancer.AttemptResult;
import tansypass.node.FakePeer;
import tansypass.node.TestEventLoopGroup;
import tansypass.node.endpoint.EndpointList;
import tansypass.node.http.BufferLimiters;
import tansypass.node.http.UpstreamResponse;
import tansypass.node.lifecycle.DescriptorLimiter;
import tansypass.platform.EndpointListJsonReader;
import tansypass.platform.MalformedEndpointListException;

/** Opens a connection pool to one scripted web server, and records the results of attempts. */
abstract class UpstreamTestBase {
    static final long IDLE_US = 60_000_000;
    private static final long DIRECT_MEMORY_BYTES = 24 << 20;

    private EventLoopGroup group;
    EventLoop loop;
    FakePeer server;

    /** The result of an attempt, and its response if there is one. */
    record Report(AttemptResult result, UpstreamResponse response) {}

    /** Sends a request with a body of the given size, and records the result of the attempt. */
    static final class RecordingHandler implements AttemptHandler {
        final BlockingQueue<Report> reports = new LinkedBlockingQueue<>();
        private final int bodySize;

        RecordingHandler(int bodySize) {
            this.bodySize = bodySize;
        }

        @Override
        public FullHttpRequest createMessage() {
            FullHttpRequest message = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1, HttpMethod.POST, "/x", Unpooled.wrappedBuffer(new byte[bodySize]));
            message.headers().set("Content-Length", bodySize);
            return message;
        }

        @Override
        public void onAttemptEnded(AttemptResult result, UpstreamResponse response) {
            reports.add(new Report(result, response));
        }

        Report awaitReport() throws InterruptedException {
            return FakePeer.awaitNext(reports);
        }
    }

    @BeforeEach
    final void openServer() throws Exception {
        group = new TestEventLoopGroup(NioIoHandler.newFactory());
        loop = group.next();
        server = new FakePeer(FakePeer.respondWith("200 OK", "", "hello"));
    }

    @AfterEach
    final void closeServer() throws Exception {
        server.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    final UpstreamConnectionPool openPool(String address, long idleUs) throws Exception {
        return openPool(address, idleUs, 0);
    }

    final UpstreamConnectionPool openPool(String address, long idleUs, long quarantineMs) throws Exception {
        return openPool(address, 300_000, idleUs, quarantineMs);
    }

    final UpstreamConnectionPool openPool(String address, long connectTimeoutUs, long idleUs, long quarantineMs)
            throws Exception {
        DescriptorLimiter sockets = new DescriptorLimiter(1_024);
        UpstreamConnectionPool pool = loop.submit(() -> new UpstreamConnectionPool(
                        loop,
                        sockets,
                        new BufferLimiters(DIRECT_MEMORY_BYTES, sockets.maxClients()),
                        connectTimeoutUs,
                        idleUs,
                        quarantineMs))
                .get();
        updateEndpoint(pool, address, 0);
        return pool;
    }

    final void updateEndpoint(UpstreamConnectionPool pool, String address, long bootMs) throws Exception {
        EndpointList list = parseEndpoint(address, "Ready", bootMs);
        loop.submit(() -> pool.update(list)).get();
    }

    static EndpointList parseEndpoint(String address, String state, long bootMs) throws MalformedEndpointListException {
        return EndpointListJsonReader.read("{\"rev\":1,\"all\":true,"
                + "\"targets\":[{\"uid\":\"s\",\"endpoint\":\"" + address
                + "\",\"state\":\"" + state + "\",\"boot_ms\":" + bootMs + "}]}");
    }

    final UpstreamAttempt start(UpstreamConnectionPool pool, RecordingHandler handler) throws Exception {
        return loop.submit(() -> pool.startAttempt("s", handler)).get();
    }

    final Report runAttempt(FakePeer.Script script) throws Exception {
        server.setScript(script);
        RecordingHandler handler = new RecordingHandler(10);
        start(openPool(server.address(), IDLE_US), handler);
        Report report = handler.awaitReport();
        loop.submit(() -> {}).get();
        assertTrue(handler.reports.isEmpty(), "reported twice");
        return report;
    }

    final void assertResult(AttemptResult expected, FakePeer.Script script) throws Exception {
        assertResult(expected, script, "result");
    }

    final void assertResult(AttemptResult expected, FakePeer.Script script, String message) throws Exception {
        assertEquals(expected, runAttempt(script).result(), message);
    }
}
