package tansypass.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.StreamHandler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tansypass.node.frontend.ClientConnection;
import tansypass.node.frontend.HttpFrontend;
import tansypass.node.lifecycle.DescriptorLimiter;
import tansypass.node.process.ProxyNode;

/** A whole node with fake clients, web servers and service discovery. */
@Timeout(120)
class ProxyNodeTest extends RunningNodeTestBase {
    private FakePeer otherServer;
    private Socket client;

    @BeforeEach
    void openOtherServer() throws Exception {
        otherServer = openWebServer(Fixture.RESPOND_OK);
    }

    @AfterEach
    void closeClient() throws Exception {
        if (client != null) {
            client.close();
        }
    }

    /** Starts a node and returns the port on which it listens. */
    private int start(JsonObject configJson) throws Exception {
        node = new RunningNode(configJson);
        return node.port;
    }

    private void start(FakePeer... servers) throws Exception {
        client = Fixture.connect(start(Fixture.createConfig(discovery.peer, servers)));
    }

    private String sendRequest(String request) throws Exception {
        FakePeer.write(client, request);
        return FakePeer.readMessage(client);
    }

    private static int parseStatus(String response) {
        assertNotNull(response, "the connection ended without a response");
        return Integer.parseInt(response.substring(9, 12));
    }

    @Test
    void requestIsForwardedUnchangedAndServedOnce() throws Exception {
        start(server);
        String response = sendRequest(Fixture.formatRequest(
                "POST",
                "/photo/7?size=2",
                1,
                "Idempotency-Key: abc\r\n" + "Cookie: key=9\r\nConnection: keep-alive\r\n",
                "pixels"));
        assertEquals(200, parseStatus(response));
        assertTrue(response.endsWith("\r\n\r\ndone"), response);
        String forwarded = server.nextRequest();
        assertTrue(forwarded.startsWith("POST /photo/7?size=2 HTTP/1.1\r\n"), forwarded);
        assertTrue(forwarded.endsWith("\r\n\r\npixels"), forwarded);
        assertEquals("abc", FakePeer.findHeader(forwarded, "Idempotency-Key"));
        assertEquals("0000000000000001", FakePeer.findHeader(forwarded, "X-Txn"));
        assertEquals("key=9", FakePeer.findHeader(forwarded, "Cookie"));
        int remainingMs = Integer.parseInt(FakePeer.findHeader(forwarded, "X-Remaining-Ms"));
        assertTrue(
                remainingMs > 0 && remainingMs <= Fixture.REMAINING_MS,
                "forwarded with a deadline of " + remainingMs + " ms");
        assertTrue(server.requests.isEmpty());
        assertEquals(200, parseStatus(sendRequest("GET /ready HTTP/1.1\r\n\r\n")));
    }

    @Test
    void pipelinedRequestsAreAnsweredInOrder() throws Exception {
        server.setScript((socket, request) -> {
            String path = request.split(" ")[1];
            FakePeer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + path.length() + "\r\n\r\n" + path);
        });
        start(server);
        StringBuilder pipeline = new StringBuilder();
        for (int i = 0; i < 40; i++) {
            pipeline.append(Fixture.formatRequest("GET", "/view/" + i, i, "", ""));
        }
        FakePeer.write(client, pipeline.toString());
        for (int i = 0; i < 40; i++) {
            String response = FakePeer.readMessage(client);
            assertTrue(response.endsWith("\r\n\r\n/view/" + i), response);
        }
    }

    @Test
    void longPipelineIsAnsweredToItsEnd() throws Exception {
        int pipelinedCount = 3_000;
        server.setScript(FakePeer.SILENT);
        start(server);
        FakePeer.write(
                client,
                Fixture.formatRequest("GET", "/view", 1, "", "") + "GET /n HTTP/1.1\r\n\r\n".repeat(pipelinedCount));
        server.nextRequest();
        FakePeer.write(FakePeer.awaitNext(server.accepted), "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        assertEquals(200, parseStatus(FakePeer.readMessage(client)));
        for (int i = 0; i < pipelinedCount; i++) {
            assertEquals(404, parseStatus(FakePeer.readMessage(client)));
        }
    }

    @Test
    void unsafeRequestPossiblyExecutedIsNeitherRetriedNorRejected() throws Exception {
        server.setScript(FakePeer.RESET);
        otherServer.setScript(FakePeer.RESET);
        start(server, otherServer);
        int status = parseStatus(sendRequest(Fixture.formatRequest("POST", "/order", 1, "", "")));
        assertTrue(status >= 500 && status != 503, "answered " + status);
        // When this round trip ends, any retry would have been sent.
        assertEquals(200, parseStatus(sendRequest("GET /ready HTTP/1.1\r\n\r\n")));
        assertEquals(1, server.requests.size() + otherServer.requests.size());
    }

    @Test
    void safeRequestIsRetriedOnAnotherServerAfterAnError() throws Exception {
        server.setScript(FakePeer.respondWith("500 No", "", ""));
        start(server, otherServer);
        for (int i = 0; i < 8; i++) {
            assertEquals(200, parseStatus(sendRequest(Fixture.formatRequest("GET", "/view", i, "", ""))));
        }
        assertFalse(otherServer.requests.isEmpty());
    }

    @Test
    void rejectionIsImmediateAndHasRetryAfter() throws Exception {
        server.setScript(FakePeer.respondWith("503 Full", "X-Turned-Away: 1\r\n", ""));
        start(server);
        String response = sendRequest(Fixture.formatRequest("POST", "/order", 1, "", ""));
        assertEquals(503, parseStatus(response));
        assertEquals("1", FakePeer.findHeader(response, "Retry-After"));
    }

    @Test
    void silentServerTimesOutWithinTheClientsDeadline() throws Exception {
        server.setScript(FakePeer.SILENT);
        start(server);
        long startNs = System.nanoTime();
        int status = parseStatus(sendRequest(Fixture.formatRequest("POST", "/slow", 1, "", "")
                .replace("Remaining-Ms: " + Fixture.REMAINING_MS, "Remaining-Ms: 700")));
        long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs);
        assertTrue(status >= 500 && status != 503, "answered " + status);
        assertTrue(tookMs >= 600, "timed out after " + tookMs + " ms");
        FakePeer.awaitNext(server.closedConnections);
        assertEquals(1, server.requests.size());
    }

    @Test
    void clientDisconnectAbortsItsAttempt() throws Exception {
        server.setScript(FakePeer.SILENT);
        start(server);
        FakePeer.write(client, Fixture.formatRequest("GET", "/view", 1, "", ""));
        server.nextRequest();
        client.close();
        FakePeer.awaitNext(server.closedConnections);
        assertTrue(server.requests.isEmpty(), "retried after the client had disconnected");
    }

    @Test
    void idleConnectionClosedByTheServerLosesNoRequest() throws Exception {
        start(server);
        for (int i = 0; i < 5; i++) {
            assertEquals(200, parseStatus(sendRequest(Fixture.formatRequest("POST", "/order", i, "", ""))));
            FakePeer.awaitNext(server.accepted).close();
            FakePeer.awaitNext(server.closedConnections);
        }
        assertEquals(5, server.requests.size());
    }

    @Test
    void drainingServerGetsNoNewRequest() throws Exception {
        start(server, otherServer);
        String watch = discovery.peer.nextRequest();
        assertTrue(watch.startsWith("GET /v1/endpoints?watch=1&after=41 "), watch);
        assertEquals(200, parseStatus(sendRequest(Fixture.formatRequest("GET", "/view", 0, "", ""))));
        discovery.publish(Fixture.formatEndpointList(42, false, "Terminating", server));
        // The node reads updates asynchronously. It has read both once 20 requests in a row avoid the draining server.
        discovery.publish(Fixture.formatEndpointList(43, false, "Ready", otherServer));
        long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(FakePeer.AWAIT_TIMEOUT_S);
        int avoidedInARow = 0;
        for (int i = 1; avoidedInARow < 20; i++) {
            int countBefore = server.requests.size();
            assertEquals(200, parseStatus(sendRequest(Fixture.formatRequest("GET", "/view", i, "", ""))));
            avoidedInARow = server.requests.size() == countBefore ? avoidedInARow + 1 : 0;
            assertTrue(System.nanoTime() < deadlineNs, "the draining server still gets requests");
        }
        // After its connection was broken, the watch resumes after the last revision that the node received.
        discovery.breakWatches();
        assertTrue(discovery.peer.nextRequest().contains("after=43 "));
    }

    @Test
    void malformedRequestIsAnswered4xxAndNotForwarded() throws Exception {
        int port = start(Fixture.createConfig(discovery.peer, server));
        String validRequest = Fixture.formatRequest("GET", "/view", 1, "", "");
        List<Map.Entry<Integer, String>> cases = new ArrayList<>(List.of(
                Map.entry(404, validRequest.replace("/view", "/nothing")),
                Map.entry(404, validRequest.replace("/view", "*")),
                Map.entry(405, validRequest.replace("GET", "POST")),
                Map.entry(405, validRequest.replace("GET", "DELETE")),
                Map.entry(400, validRequest.replace("X-Org: acme", "X-Org: nobody")),
                Map.entry(400, validRequest.replace("X-Txn: 0000000000000001\r\n", "")),
                Map.entry(400, validRequest.replace("X-Txn: 0000000000000001", "X-Txn: zz")),
                Map.entry(400, validRequest.replace("X-Remaining-Ms: " + Fixture.REMAINING_MS + "\r\n", "")),
                Map.entry(400, validRequest.replace("Remaining-Ms: " + Fixture.REMAINING_MS, "Remaining-Ms: -4")),
                Map.entry(400, validRequest.replace("Remaining-Ms: " + Fixture.REMAINING_MS, "Remaining-Ms: soon")),
                Map.entry(400, Fixture.formatRequest("POST", "/photo", 1, "", "")),
                Map.entry(400, "COMPLETE NONSENSE\r\n\r\n"),
                Map.entry(
                        413,
                        Fixture.formatRequest("POST", "/order", 1, "", "x")
                                .replace("Length: 1\r", "Length: " + "99000000\r")),
                Map.entry(417, Fixture.formatRequest("POST", "/order", 1, "Expect: more\r\n", "x")),
                Map.entry(400, Fixture.formatRequest("POST", "/order", 1, "Transfer-Encoding: chunked\r\n", "x")),
                Map.entry(400, Fixture.formatRequest("POST", "/order", 1, "Content-Length: 2\r\n", "x")),
                Map.entry(
                        400,
                        Fixture.formatRequest("POST", "/order", 1, "Transfer-Encoding: gzip, chunked\r\n", "")
                                        .replace("Content-Length: 0\r\n", "")
                                + "0\r\n\r\n"),
                Map.entry(
                        400,
                        Fixture.formatRequest("POST", "/order", 1, "Transfer-Encoding: chunked\r\n", "")
                                        .replace("Content-Length: 0\r\n", "")
                                + "xyz\r\n"),
                Map.entry(400, validRequest.replace("X-Org: acme", "X-Org acme")),
                Map.entry(400, validRequest.replace("HTTP/1.1", "HTTP/2.0")),
                Map.entry(414, validRequest.replace("/view", "/view/" + "x".repeat(9_000))),
                Map.entry(431, validRequest.replace("\r\n\r\n", "\r\nX-Long: " + "x".repeat(20_000) + "\r\n\r\n")),
                Map.entry(431, validRequest.replace("\r\n\r\n", "\r\nX: 1".repeat(101) + "\r\n\r\n"))));
        for (Map.Entry<Integer, String> testCase : cases) {
            client = Fixture.connect(port);
            String response = sendRequest(testCase.getValue());
            String excerpt = testCase.getValue()
                    .substring(0, Math.min(200, testCase.getValue().length()));
            assertEquals(testCase.getKey(), parseStatus(response), excerpt);
            assertFalse(
                    response.substring(response.indexOf("\r\n\r\n")).isBlank(), "no reason in the body: " + excerpt);
            client.close();
        }
        client = Fixture.connect(port);
        assertEquals(200, parseStatus(sendRequest(validRequest)));
        assertEquals(1, server.requests.size());
    }

    @Test
    void warmUpRequestAfterWarmUpReachesNoServer() throws Exception {
        JsonObject configJson = Fixture.createConfig(discovery.peer, server);
        client = Fixture.connect(start(configJson));
        long seed = Long.parseUnsignedLong(configJson.get("seed").getAsString(), 16);
        String token = Long.toHexString(new SplittableRandom(seed).nextLong());
        String response = sendRequest(
                Fixture.formatRequest("GET", "/view", 1, HttpFrontend.WARM_UP_HEADER + ": " + token + "\r\n", ""));
        assertTrue(response.endsWith("rehearsed\n"), response);
        assertEquals(200, parseStatus(sendRequest(Fixture.formatRequest("GET", "/view", 2, "", ""))));
        assertEquals("0000000000000002", FakePeer.findHeader(server.nextRequest(), "X-Txn"));
        assertTrue(server.requests.isEmpty());
    }

    @Test
    void incompleteRequestTimesOutAndOthersAreNotAffected() throws Exception {
        server.setScript(FakePeer.SILENT);
        int port = start(Fixture.createConfig(discovery.peer, server));
        try (Socket keptAlive = Fixture.connect(port);
                Socket inFlight = Fixture.connect(port)) {
            FakePeer.write(keptAlive, "GET /ready HTTP/1.1\r\n\r\n");
            assertEquals(200, parseStatus(FakePeer.readMessage(keptAlive)));
            FakePeer.write(inFlight, Fixture.formatRequest("POST", "/order", 1, "", "x"));
            Socket attemptSocket = FakePeer.awaitNext(server.accepted);
            server.nextRequest();
            List<Socket> incomplete = new ArrayList<>();
            for (String part : List.of(
                    "",
                    "GET /vi",
                    "GET /view HTTP/1.1\r\nX-Txn: 00",
                    Fixture.formatRequest("POST", "/order", 2, "", "half").replace("half", "h"))) {
                incomplete.add(Fixture.connect(port));
                FakePeer.write(incomplete.get(incomplete.size() - 1), part);
            }
            for (Socket socket : incomplete) {
                String response = FakePeer.readMessage(socket);
                assertEquals(408, parseStatus(response), "case " + incomplete.indexOf(socket));
                assertTrue(response.endsWith("no whole request\n"), response);
                assertNull(FakePeer.readMessage(socket), "case " + incomplete.indexOf(socket));
                socket.close();
            }
            // These two connections have been open longer than the incomplete ones.
            FakePeer.write(keptAlive, "GET /ready HTTP/1.1\r\n\r\n");
            assertEquals(200, parseStatus(FakePeer.readMessage(keptAlive)));
            FakePeer.write(attemptSocket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            assertEquals(200, parseStatus(FakePeer.readMessage(inFlight)));
        }
    }

    private static <T> T captureLog(Class<?> source, LoggedAction<T> action) throws Exception {
        BlockingQueue<LogRecord> logged = new LinkedBlockingQueue<>();
        Handler handler = new StreamHandler() {
            @Override
            public synchronized void publish(LogRecord logRecord) {
                logged.add(logRecord);
            }
        };
        Logger logger = Logger.getLogger(source.getName());
        logger.addHandler(handler);
        try {
            return action.run(logged);
        } finally {
            logger.removeHandler(handler);
        }
    }

    private interface LoggedAction<T> {
        T run(BlockingQueue<LogRecord> logged) throws Exception;
    }

    @Test
    void clientDisconnectDuringARequestIsNotLogged() throws Exception {
        assertEquals(List.of(), captureLog(ClientConnection.class, logged -> {
            int port = start(Fixture.createConfig(discovery.peer, server));
            client = Fixture.connect(port);
            FakePeer.write(
                    client,
                    Fixture.formatRequest("POST", "/order", 1, "", "half").replace("half", "h"));
            client.close();
            client = Fixture.connect(port);
            // Before the event loop responds on the second connection, it has handled the close of the first.
            assertEquals(200, parseStatus(sendRequest(Fixture.formatRequest("GET", "/view", 2, "", ""))));
            return List.copyOf(logged);
        }));
    }

    @Test
    void firstLogLineIsWrittenBeforeClientsConnect() throws Exception {
        String logLine = captureLog(ProxyNode.class, logged -> {
            start(Fixture.createConfig(discovery.peer, server, otherServer));
            return FakePeer.awaitNext(logged).getMessage();
        });
        assertEquals("warm-up complete known_servers=2", logLine);
    }

    @Test
    void requestIdInFlightIsRejectedAsAConflict() throws Exception {
        server.setScript(FakePeer.SILENT);
        int port = start(Fixture.createConfig(discovery.peer, server));
        try (Socket otherClient = Fixture.connect(port)) {
            FakePeer.write(otherClient, Fixture.formatRequest("POST", "/order", 1, "", ""));
            server.nextRequest();
            client = Fixture.connect(port);
            assertEquals(409, parseStatus(sendRequest(Fixture.formatRequest("POST", "/order", 1, "", ""))));
        }
        assertTrue(server.requests.isEmpty());
    }

    @Test
    void idleConnectionsAreClosedAtTheDescriptorLimit() throws Exception {
        JsonObject configJson = Fixture.createConfig(discovery.peer, server);
        configJson.getAsJsonObject("limits").addProperty("sockets", DescriptorLimiter.RESERVED_DESCRIPTORS + 8);
        int port = start(configJson);
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            client = Fixture.connect(port);
            clients.add(client);
            assertEquals(200, parseStatus(sendRequest(Fixture.formatRequest("GET", "/view", i, "", ""))));
        }
        assertNull(FakePeer.readMessage(clients.get(0)), "the oldest idle connection is still open");
        for (Socket socket : clients) {
            socket.close();
        }
    }

    @Test
    void zonesNotInTheSettingsAreDistinguished() throws Exception {
        server.setScript(FakePeer.RESET);
        otherServer.setScript(FakePeer.RESET);
        JsonObject configJson = Fixture.createConfig(discovery.peer, server, otherServer);
        configJson.add(
                "known",
                JsonParser.parseString(Fixture.formatEndpointList(41, true, "Ready", server, otherServer)
                        .replaceFirst("\"az\":\"a\"", "\"az\":\"b\"")
                        .replaceFirst("\"az\":\"a\"", "\"az\":\"c\"")));
        configJson
                .getAsJsonObject("settings")
                .getAsJsonArray("classes")
                .get(1)
                .getAsJsonObject()
                .addProperty("group", "zone");
        client = Fixture.connect(start(configJson));
        int status = parseStatus(sendRequest(Fixture.formatRequest("POST", "/photo", 1, "Idempotency-Key: k\r\n", "")));
        assertTrue(status >= 500 && status != 503, "answered " + status);
        assertEquals(200, parseStatus(sendRequest("GET /ready HTTP/1.1\r\n\r\n")));
        assertEquals(
                1,
                server.requests.size() + otherServer.requests.size(),
                "retried in a zone that does not share its idempotency keys");
    }
}
