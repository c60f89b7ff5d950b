package tansypass.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Shutdown with requests in each state. The times are measured by timers of the node's event loop, which fire in
 * order.
 */
@Timeout(120)
class ShutdownTest extends RunningNodeTestBase {
    private final CountDownLatch stopped = new CountDownLatch(1);

    @BeforeEach
    void silenceServer() {
        server.setScript(FakePeer.SILENT);
    }

    private void start(String name, String repeat, long deadlineMs) throws Exception {
        JsonObject configJson = Fixture.createConfig(discovery.peer, server);
        configJson
                .getAsJsonObject("settings")
                .add(
                        "classes",
                        JsonParser.parseString("[{'name':'%s','repeat':'%s',".formatted(name, repeat)
                                + "'onTimeUs':%d,'giveUpUs':%d}]".formatted(1_000 * deadlineMs, 1_000 * deadlineMs)));
        node = new RunningNode(configJson);
    }

    /**
     * Shuts the node down. The returned future is true if the node has stopped when a timer of its event loop fires
     * after {@code checkMs}.
     */
    private CompletableFuture<Boolean> stopAndCheckAfter(long checkMs) throws Exception {
        CompletableFuture<Boolean> stoppedInTime = new CompletableFuture<>();
        node.loop
                .submit(() -> {
                    node.node.stop(stopped::countDown);
                    node.loop.schedule(
                            () -> stoppedInTime.complete(stopped.getCount() == 0), checkMs, TimeUnit.MILLISECONDS);
                })
                .get();
        return stoppedInTime;
    }

    @ParameterizedTest
    @CsvSource({
        "berth-list, safe, GET, 260, 1200",
        "order, unsafe, POST, 3000, 3900",
        "report, unsafe, POST, 60000, 3900"
    })
    void failsUnansweredRequestBeforeProcessMayBeKilled(
            String name, String repeat, String method, long deadlineMs, long checkMs) throws Exception {
        start(name, repeat, deadlineMs);
        Socket client = node.connect();
        FakePeer.write(client, Fixture.formatRequest(method, "/" + name, 1, "", ""));
        server.nextRequest();
        CompletableFuture<Boolean> inTime = stopAndCheckAfter(checkMs);
        String response = FakePeer.readMessage(client);
        assertTrue(
                response != null && response.startsWith("HTTP/1.1 5") && !response.startsWith("HTTP/1.1 503"),
                response);
        assertEquals("close", FakePeer.findHeader(response, "Connection"));
        assertNull(FakePeer.readMessage(client), "a second response");
        assertTrue(inTime.get(), "still running when it may be killed");
        assertEquals(0, node.readMetric("in_flight"));
        assertEquals(1, server.accepted.size());
    }

    @Test
    void leavesNoConnectionOpenAfterShutdown() throws Exception {
        start("view", "safe", 260);
        CompletableFuture<Boolean> inTime = stopAndCheckAfter(800);
        List<Socket> acceptedClients = new ArrayList<>();
        try {
            while (!inTime.isDone()) {
                acceptedClients.add(node.connect());
                inTime.completeOnTimeout(false, FakePeer.AWAIT_TIMEOUT_S, TimeUnit.SECONDS);
                node.loop.schedule(() -> {}, 5, TimeUnit.MILLISECONDS).get();
            }
        } catch (IOException e) {
            // The node accepts no more connections.
            assertTrue(acceptedClients.size() > 10, "accepted " + acceptedClients.size());
        }
        assertTrue(inTime.get(), "connections are still open 0.8 s after the shutdown began");
    }

    @Test
    void completesStartedResponseDuringShutdown() throws Exception {
        start("view", "safe", 260);
        Socket client = node.connect();
        FakePeer.write(client, Fixture.formatRequest("GET", "/view", 1, "", ""));
        server.nextRequest();
        Socket attemptSocket = FakePeer.awaitNext(server.accepted);
        FakePeer.write(attemptSocket, "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + "a".repeat(100_000));
        assertEquals(100_000 - 1, client.getInputStream().readNBytes(100_000 - 1).length);
        assertTrue(!stopAndCheckAfter(1_500).get(), "stopped during a response");
        FakePeer.write(attemptSocket, "a".repeat(100_000));
        byte[] remainingBytes = client.getInputStream().readAllBytes();
        assertTrue(remainingBytes.length > 100_000, "truncated after " + remainingBytes.length);
        assertTrue(stopped.await(FakePeer.AWAIT_TIMEOUT_S, TimeUnit.SECONDS));
    }

    @Test
    void deliversResponseDespiteUnreadInvalidInput() throws Exception {
        start("view", "safe", 20_000);
        Socket client = node.connect();
        FakePeer.write(client, Fixture.formatRequest("GET", "/view", 1, "", "") + "not HTTP at all\r\n\r\n");
        server.nextRequest();
        CountDownLatch release = node.blockEventLoop();
        // The response and more invalid input arrive in the same iteration of the event loop.
        FakePeer.write(FakePeer.awaitNext(server.accepted), "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
        FakePeer.write(client, "more\r\n".repeat(5_000));
        release.countDown();
        String response = FakePeer.readMessage(client);
        assertTrue(response != null && response.endsWith("done"), response);
        String error = FakePeer.readMessage(client);
        assertTrue(error != null && error.startsWith("HTTP/1.1 400"), error);
        assertNull(FakePeer.readMessage(client));
    }
}
