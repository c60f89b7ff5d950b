package tansypass.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import tansypass.node.lifecycle.DescriptorLimiter;

/** Events that coincide in one iteration of the event loop, and the retries that are permitted after each failure. */
@Timeout(120)
class EventRaceTest extends RunningNodeTestBase {
    private static final Map<String, FakePeer.Script> FAILURES = Map.of(
            "reset",
            FakePeer.RESET,
            "close",
            FakePeer.CLOSE,
            "error",
            FakePeer.respondWith("500 No", "", ""),
            "malformed",
            FakePeer.respondRaw("NO RESPONSE\r\n\r\n"),
            "overloaded",
            FakePeer.respondWith("503 Full", "X-Turned-Away: 1\r\n", ""),
            "truncated",
            (socket, request) -> {
                FakePeer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
                socket.close();
            });

    private FakePeer otherServer;

    @BeforeEach
    void openOtherServer() throws Exception {
        otherServer = openWebServer(Fixture.RESPOND_OK);
    }

    private JsonObject createConfig(String name, String repeat, String group) {
        JsonObject configJson = Fixture.createConfig(discovery.peer, server, otherServer);
        JsonObject settings = configJson.getAsJsonObject("settings");
        settings.add(
                "classes",
                JsonParser.parseString(("[{'name':'%s','repeat':'%s','group':'%s',"
                                + "'onTimeUs':10000000,'giveUpUs':30000000,'windowUs':9000000}]")
                        .formatted(name, repeat, group)));
        return configJson;
    }

    @Test
    void completesRequestThatArrivesAsServerClosesIdleConnection() throws Exception {
        JsonObject configJson = Fixture.createConfig(discovery.peer, server);
        node = new RunningNode(configJson);
        Socket client = node.connect();
        for (int i = 0; i < 20; i += 2) {
            FakePeer.write(client, Fixture.formatRequest("POST", "/order", i, "", ""));
            assertTrue(FakePeer.readMessage(client).startsWith("HTTP/1.1 200"));
            Socket idleConnection = FakePeer.awaitNext(server.accepted);
            CountDownLatch release = node.blockEventLoop();
            FakePeer.write(client, Fixture.formatRequest("POST", "/order", i + 1, "", ""));
            idleConnection.close();
            release.countDown();
            String response = FakePeer.readMessage(client);
            assertTrue(response.startsWith("HTTP/1.1 200"), response);
            // The next round starts on the connection that this one opened.
            Socket reopenedConnection = FakePeer.awaitNext(server.accepted);
            reopenedConnection.shutdownOutput();
            FakePeer.awaitNext(server.closedConnections);
            FakePeer.awaitNext(server.closedConnections);
        }
        assertEquals(20, server.requests.size());
    }

    @Test
    void closesIdleConnectionRatherThanOneWithPartialRequest() throws Exception {
        JsonObject configJson = Fixture.createConfig(discovery.peer, server);
        configJson.getAsJsonObject("limits").addProperty("sockets", DescriptorLimiter.RESERVED_DESCRIPTORS + 8);
        node = new RunningNode(configJson);
        Socket partialClient = node.connect();
        String request = Fixture.formatRequest("GET", "/view", 1, "", "");
        FakePeer.write(partialClient, request.substring(0, 30));
        for (int i = 2; i < 20; i++) {
            Socket client = node.connect();
            FakePeer.write(client, Fixture.formatRequest("GET", "/view", i, "", ""));
            assertTrue(FakePeer.readMessage(client).startsWith("HTTP/1.1 200"));
        }
        FakePeer.write(partialClient, request.substring(30));
        String response = FakePeer.readMessage(partialClient);
        assertTrue(response != null && response.startsWith("HTTP/1.1 200"), response);
    }

    @ParameterizedTest
    @CsvSource({
        "order, unsafe, all, reset, 1, 5",
        "order, unsafe, all, close, 1, 5",
        "hold, unsafe, all, error, 1, 5",
        "hold, unsafe, all, malformed, 1, 5",
        "hold, unsafe, all, truncated, 1, 5",
        "hold, unsafe, all, overloaded, 2, 503",
        "pay, keyed, cell, reset, 2, 5",
        "pay, keyed, cell, truncated, 2, 5",
        "book, keyed, zone, error, 2, 5",
        "book, keyed, all, malformed, 2, 503",
        "book, keyed, cell, overloaded, 2, 503"
    })
    void retriesAsIdempotencyPermits(
            String name, String repeat, String group, String failure, int attempts, String status) throws Exception {
        server.setScript(FAILURES.get(failure));
        otherServer.setScript(FAILURES.get(failure));
        node = new RunningNode(createConfig(name, repeat, group));
        Socket client = node.connect();
        FakePeer.write(
                client,
                Fixture.formatRequest(
                        "POST", "/" + name, 1, repeat.equals("keyed") ? "Idempotency-Key: k\r\n" : "", ""));
        String response = FakePeer.readMessage(client);
        assertTrue(response.startsWith("HTTP/1.1 " + status), response);
        assertEquals(status.equals("503"), response.startsWith("HTTP/1.1 503"), response);
        node.awaitMetric("in_flight", 0);
        int sentCount = server.requests.size() + otherServer.requests.size();
        assertTrue(attempts == 1 ? sentCount == 1 : sentCount >= attempts, sentCount + " attempts");
        assertEquals(sentCount, node.readMetric("attempts"));
    }

    @Test
    void sendsNothingToServerThatBeganDrainingWhileWatchWasBroken() throws Exception {
        node = new RunningNode(Fixture.createConfig(discovery.peer, server, otherServer));
        discovery.peer.nextRequest();
        CountDownLatch release = node.blockEventLoop();
        discovery.breakWatches();
        discovery.publish(Fixture.formatEndpointList(42, false, "Terminating", server));
        release.countDown();
        // The server is excluded once the new watch has delivered the update.
        node.awaitMetric("web_servers_excluded", 1);
        Socket client = node.connect();
        for (int i = 0; i < 20; i++) {
            FakePeer.write(client, Fixture.formatRequest("GET", "/view", i, "", ""));
            assertTrue(FakePeer.readMessage(client).startsWith("HTTP/1.1 200"));
        }
        assertEquals(0, server.requests.size());
        assertEquals(20, otherServer.requests.size());
    }
}
