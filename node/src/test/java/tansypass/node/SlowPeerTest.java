package tansypass.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import tansypass.node.lifecycle.DescriptorLimiter;

/**
 * Clients and servers that send single bytes. Such a client gets a complete response or a rejection in time, and the
 * node serves another client meanwhile. The event loop runs at least once after each byte, which the node therefore
 * receives separately.
 */
@Timeout(120)
class SlowPeerTest extends RunningNodeTestBase {
    private static final int BODY_LENGTH = 300;
    private static final int RECEIVE_BUFFER_BYTES = 1_024;
    /** The tolerance for a busy machine. */
    private static final int TOLERANCE_MS = 2_000;
    /** The time within which a request that never completes is rejected: its timeout and one check interval. */
    private static final int REJECTION_LIMIT_MS = 2_700 + TOLERANCE_MS;

    /** Limits of a node: the latency objective and deadline of requests, and the number of descriptors. */
    enum Limits {
        WIDE(10_000, 30_000, 1_024),
        NARROW(1_500, 2_000, DescriptorLimiter.RESERVED_DESCRIPTORS + 8),
        BRIEF(400, 800, 256);

        final int objectiveMs;
        final int deadlineMs;
        final int descriptors;

        Limits(int objectiveMs, int deadlineMs, int descriptors) {
            this.objectiveMs = objectiveMs;
            this.deadlineMs = deadlineMs;
            this.descriptors = descriptors;
        }
    }

    private void startNode(Limits limits) throws Exception {
        JsonObject configJson = Fixture.createConfig(discovery.peer, server);
        for (JsonElement requestClass : configJson.getAsJsonObject("settings").getAsJsonArray("classes")) {
            if (requestClass.getAsJsonObject().get("name").getAsString().equals("slow")) {
                // The other clients' requests, which may exceed these limits on a busy machine, are of this class.
                continue;
            }
            requestClass.getAsJsonObject().addProperty("onTimeUs", 1_000 * limits.objectiveMs);
            requestClass.getAsJsonObject().addProperty("giveUpUs", 1_000 * limits.deadlineMs);
        }
        configJson.getAsJsonObject("limits").addProperty("sockets", limits.descriptors);
        node = new RunningNode(configJson);
    }

    private static String request(Limits limits, String method, String path, long id, String body) {
        return Fixture.formatRequest(method, path, id, "", body)
                .replace("Ms: " + Fixture.REMAINING_MS, "Ms: " + limits.deadlineMs);
    }

    private void writeByByte(Socket socket, String text) throws Exception {
        socket.setTcpNoDelay(true);
        for (int i = 0; i < text.length(); i++) {
            FakePeer.write(socket, text.substring(i, i + 1));
            node.loop.submit(() -> {}).get();
        }
    }

    private void assertServed(long id) throws Exception {
        try (Socket otherClient = node.connect()) {
            FakePeer.write(otherClient, request(Limits.WIDE, "POST", "/slow", id, ""));
            String response = FakePeer.readMessage(otherClient);
            assertTrue(response != null && response.endsWith("done"), response);
        }
    }

    /** Opens more slow connections, one after another, than there are descriptors for clients. */
    @ParameterizedTest
    @EnumSource(names = {"WIDE", "NARROW"})
    void relaysCompleteMessagesSentByteByByteAndServesOthers(Limits limits) throws Exception {
        startNode(limits);
        String body = "b".repeat(BODY_LENGTH);
        for (int round = 0; round < 12; round++) {
            long slowId = 100L + round;
            String marker = String.format("%016x", slowId);
            String response = round % 2 == 0
                    ? "HTTP/1.1 200 OK\r\nContent-Length: " + BODY_LENGTH + "\r\n\r\n" + body
                    : "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(BODY_LENGTH)
                            + "\r\n" + body + "\r\n0\r\n\r\n";
            CountDownLatch halfSent = new CountDownLatch(1);
            CountDownLatch release = new CountDownLatch(1);
            server.setScript((socket, request) -> {
                if (!request.contains(marker)) {
                    Fixture.RESPOND_OK.run(socket, request);
                    return;
                }
                try {
                    writeByByte(socket, response.substring(0, response.length() / 2));
                    halfSent.countDown();
                    Fixture.awaitLatch(release);
                    writeByByte(socket, response.substring(response.length() / 2));
                } catch (Exception e) {
                    throw new IOException(e);
                }
            });
            try (Socket slow = new Socket()) {
                slow.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
                slow.setSoTimeout((int) TimeUnit.SECONDS.toMillis(FakePeer.AWAIT_TIMEOUT_S));
                slow.connect(new InetSocketAddress("127.0.0.1", node.port));
                String request = request(limits, "POST", "/order", slowId, body);
                writeByByte(slow, request.substring(0, request.length() - 1));
                assertServed(1_000 + round);
                writeByByte(slow, request.substring(request.length() - 1));
                assertTrue(halfSent.await(FakePeer.AWAIT_TIMEOUT_S, TimeUnit.SECONDS));
                assertServed(2_000 + round);
                release.countDown();
                String received = round % 2 == 0 ? FakePeer.readMessage(slow) : HttpStreams.readHead(slow);
                assertTrue(received.startsWith("HTTP/1.1 200"), received);
                if (round % 2 != 0 && FakePeer.findHeader(received, "Transfer-Encoding") != null) {
                    received += new String(HttpStreams.readChunkedBody(slow), StandardCharsets.US_ASCII);
                } else if (round % 2 != 0) {
                    received += new String(slow.getInputStream().readNBytes(BODY_LENGTH), StandardCharsets.US_ASCII);
                }
                assertTrue(received.endsWith("\r\n\r\n" + body), received);
            }
            assertEquals(
                    1, server.requests.stream().filter(r -> r.contains(marker)).count(), "not forwarded once");
            assertTrue(
                    server.requests.stream().anyMatch(r -> r.contains(marker) && r.endsWith("\r\n\r\n" + body)),
                    "forwarded incomplete");
        }
        node.awaitMetric("in_flight", 0);
    }

    /** The bytes of the request's head or body keep arriving, but it never ends. */
    @ParameterizedTest
    @CsvSource({"WIDE, GET", "NARROW, GET", "WIDE, POST", "NARROW, POST"})
    void rejectsRequestThatIsNeverCompleteInTime(Limits limits, String method) throws Exception {
        startNode(limits);
        Socket slowClient = node.connect();
        long startNs = System.nanoTime();
        String startOfRequest = method.equals("GET")
                ? "GET /view HTTP/1.1\r\nX-Pad: "
                : request(limits, "POST", "/order", 1, "").replace("Length: 0", "Length: 1000000");
        FakePeer.write(slowClient, startOfRequest);
        int servedCount = 0;
        while (slowClient.getInputStream().available() == 0) {
            FakePeer.write(slowClient, "x");
            assertServed(10 + servedCount++);
            assertTrue(elapsedMs(startNs) < REJECTION_LIMIT_MS, "not ended in time");
        }
        String response = FakePeer.readMessage(slowClient);
        assertTrue(response.startsWith("HTTP/1.1 408"), response);
        assertEquals(servedCount, server.requests.size());
        node.awaitMetric("in_flight", 0);
    }

    /** The bytes of the response's head, or of its short body of known length, keep arriving, but it never ends. */
    @ParameterizedTest
    @CsvSource({
        "NARROW, GET, 'HTTP/1.1 200 OK|X-Pad: ', 503",
        "NARROW, POST, 'HTTP/1.1 200 OK|Content-Length: 60000||', 502",
        "BRIEF, GET, 'HTTP/1.1 200 OK|Content-Length: 60000||', 503",
        "BRIEF, POST, 'HTTP/1.1 200 OK|X-Pad: ', 502"
    })
    void endsAttemptWhoseResponseIsNeverCompleteInTime(Limits limits, String method, String head, String status)
            throws Exception {
        String marker = String.format("%016x", 1);
        CountDownLatch started = new CountDownLatch(1);
        server.setScript((socket, request) -> {
            if (request.contains(marker)) {
                FakePeer.write(socket, head.replace("|", "\r\n"));
                started.countDown();
            } else {
                Fixture.RESPOND_OK.run(socket, request);
            }
        });
        startNode(limits);
        Socket client = node.connect();
        long startNs = System.nanoTime();
        FakePeer.write(client, request(limits, method, method.equals("GET") ? "/view" : "/order", 1, ""));
        Socket attemptSocket = FakePeer.awaitNext(server.accepted);
        assertTrue(started.await(FakePeer.AWAIT_TIMEOUT_S, TimeUnit.SECONDS));
        int servedCount = 0;
        while (client.getInputStream().available() == 0) {
            try {
                FakePeer.write(attemptSocket, "x");
            } catch (IOException e) {
                // The node has closed the connection and will respond to the client.
                Thread.onSpinWait();
            }
            assertServed(10 + servedCount++);
            assertTrue(elapsedMs(startNs) < limits.deadlineMs + TOLERANCE_MS, "not ended in time");
        }
        assertTrue(elapsedMs(startNs) >= limits.objectiveMs - TOLERANCE_MS / 10, "not waited for");
        String response = FakePeer.readMessage(client);
        assertTrue(response.startsWith("HTTP/1.1 " + status), response);
        assertEquals(1, server.requests.stream().filter(r -> r.contains(marker)).count(), "retried");
        node.awaitMetric("in_flight", 0);
        awaitEnd(attemptSocket);
    }

    /** Waits until the connection of the attempt has been closed; fails if it stays open. */
    private void awaitEnd(Socket attemptSocket) throws InterruptedException {
        Socket closedSocket = FakePeer.awaitNext(server.closedConnections);
        while (!closedSocket.equals(attemptSocket)) {
            closedSocket = FakePeer.awaitNext(server.closedConnections);
        }
    }

    private static long elapsedMs(long startNs) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs);
    }
}
