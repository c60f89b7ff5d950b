package tansypass.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import tansypass.node.admin.NodeMetrics;
import tansypass.node.configuration.NodeConfig;
import tansypass.node.frontend.ClientRequestParser;
import tansypass.node.frontend.HttpFrontend;
import tansypass.node.http.BlockableChannel;
import tansypass.node.http.ConnectionBufferLimits;
import tansypass.node.http.UpstreamResponse;
import tansypass.node.lifecycle.DescriptorLimiter;
import tansypass.node.lifecycle.Lifecycle;

/** Guards against a client that sends requests without reading its responses, which then fill the direct memory. */
class UnreadResponsesTest {
    private static final int REQUESTS = 100;
    private static final int BODY_BYTES = 60_000;
    /** A response is started while the write buffer is below its mark. */
    private static final int MAX_WAITING_BYTES = ConnectionBufferLimits.WATER_MARK.high() + BODY_BYTES + 1_000;
    /** More than a node buffers of pipelined requests for a client. */
    private static final int OVERFLOWING_REQUESTS = 2_000;

    private final BlockableChannel client = new BlockableChannel();
    private FakePeer peer;
    private HttpFrontend frontend;
    private int dispatched;

    @BeforeEach
    void openConnection() throws Exception {
        peer = new FakePeer(FakePeer.SILENT);
        NodeConfig config = Fixture.loadConfig(Fixture.createConfig(peer, peer));
        frontend = new HttpFrontend(
                client.eventLoop(),
                new DescriptorLimiter(1_024),
                Fixture.newBufferLimiters(),
                new ClientRequestParser(config.settings()),
                new Lifecycle(),
                new NodeMetrics(List.of("view", "photo", "order", "slow")),
                exchange -> {
                    dispatched++;
                    exchange.sendResponse(new UpstreamResponse(200, null, new byte[BODY_BYTES]));
                });
        frontend.addClientHandlers(client.pipeline());
    }

    @AfterEach
    void closeConnection() throws Exception {
        frontend.close();
        client.finishAndReleaseAll();
        peer.close();
    }

    /** Sends a number of requests, as many together as given. */
    private void send(int requests, int requestsAtOnce) {
        for (int sent = 0; sent < requests; sent += requestsAtOnce) {
            StringBuilder text = new StringBuilder();
            for (int i = sent; i < sent + requestsAtOnce; i++) {
                text.append(Fixture.formatRequest("GET", "/view", i, "", ""));
            }
            client.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
            runTasks();
        }
    }

    /** Runs the event loop's tasks and its due timers as long as they start requests. */
    private void runTasks() {
        int dispatchedBefore;
        do {
            dispatchedBefore = dispatched;
            // A timer processes pipelined input, and a task completes the request that it finds.
            client.runPendingTasks();
            client.runPendingTasks();
        } while (dispatched > dispatchedBefore);
    }

    private int countWrittenBytes() {
        int bytes = 0;
        for (ByteBuf part = client.readOutbound(); part != null; part = client.readOutbound()) {
            bytes += part.readableBytes();
            part.release();
        }
        return bytes;
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 5, REQUESTS})
    void startsNoFurtherRequestUntilClientHasReadResponses(int requestsAtOnce) {
        send(REQUESTS, requestsAtOnce);
        assertTrue(client.waitingBytes() <= MAX_WAITING_BYTES, "bytes that wait: " + client.waitingBytes());
        client.unblock();
        runTasks();
        assertEquals(REQUESTS, dispatched);
        assertTrue(countWrittenBytes() >= REQUESTS * BODY_BYTES, "not all responses were written");
        assertTrue(client.isOpen());
    }

    @Test
    void closesAfterStartedResponsesIfTooManyRequestsAreSent() {
        send(OVERFLOWING_REQUESTS, 1);
        int started = dispatched;
        assertTrue(client.waitingBytes() <= MAX_WAITING_BYTES, "bytes that wait: " + client.waitingBytes());
        client.unblock();
        runTasks();
        assertEquals(started, dispatched, "requests started on a closing connection");
        assertTrue(countWrittenBytes() >= started * BODY_BYTES, "a response was lost");
        client.advanceTimeBy(2, TimeUnit.SECONDS);
        client.runScheduledPendingTasks();
        assertTrue(!client.isOpen(), "still open");
    }
}
