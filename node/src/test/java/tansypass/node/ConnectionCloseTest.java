package tansypass.node;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import com.google.gson.JsonObject;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import tansypass.node.lifecycle.DescriptorLimiter;

/** Data that arrives just as a node closes a connection or shuts down, and floods of connections and requests. */
@Timeout(120)
class ConnectionCloseTest extends RunningNodeTestBase {
    /** The end of a long response that the client has not read yet; less than a connection's send buffer holds. */
    private static final int BYTES_LEFT_TO_KERNEL = 100_000;

    /** The deadline of a request in the settings, which covers all retries by its client. */
    private static final int DEADLINE_MS = 30_000;
    /** The number of pipelined requests that are sent before another client's request. */
    private static final int PIPELINED_FIRST = 50;

    private JsonObject createConfig() {
        return Fixture.createConfig(discovery.peer, server);
    }

    private static String get(long id) {
        return Fixture.formatRequest("GET", "/view", id, "", "");
    }

    private Socket openIdle(long id) throws Exception {
        Socket client = node.connect();
        FakePeer.write(client, get(id));
        assertTrue(FakePeer.readMessage(client).endsWith("done"));
        assertTrue(server.nextRequest() != null);
        return client;
    }

    /**
     * Asserts that the request either got a response and was forwarded once, or got none and was not forwarded.
     *
     * @return whether the request got a response
     */
    private boolean assertRespondedOrUnread(Socket client, long id) throws Exception {
        String response = null;
        try {
            response = FakePeer.readMessage(client);
        } catch (IOException e) {
            // The node closed the connection with unread input, which resets it.
            response = null;
        }
        node.loop.submit(() -> {}).get();
        long forwardedCount = server.requests.stream()
                .filter(r -> r.contains(String.format("%016x", id)))
                .count();
        assertEquals(response == null ? 0 : 1, forwardedCount, response);
        assertTrue(response == null || response.endsWith("done"), response);
        return response != null;
    }

    @ParameterizedTest
    @CsvSource({"8, true", "8, false", "12, true", "12, false"})
    void respondsOrClosesUnreadRequestOnReclaimedIdleConnection(int sockets, boolean requestFirst) throws Exception {
        JsonObject configJson = createConfig();
        configJson.getAsJsonObject("limits").addProperty("sockets", DescriptorLimiter.RESERVED_DESCRIPTORS + sockets);
        node = new RunningNode(configJson);
        int unreadCount = 0;
        for (int i = 1; i < 60; i += 2) {
            Socket idleClient = openIdle(i);
            CountDownLatch release = node.blockEventLoop();
            if (requestFirst) {
                FakePeer.write(idleClient, get(i + 1));
            }
            List<Socket> otherClients = new ArrayList<>();
            for (int j = 0; j < sockets; j++) {
                otherClients.add(node.connect());
            }
            if (!requestFirst) {
                FakePeer.write(idleClient, get(i + 1));
            }
            release.countDown();
            unreadCount += assertRespondedOrUnread(idleClient, i + 1) ? 0 : 1;
            for (Socket otherClient : otherClients) {
                otherClient.close();
            }
            idleClient.close();
        }
        assertTrue(requestFirst || unreadCount > 0, "no connection was closed before its request was read");
    }

    /** The event loop is blocked between two times after the start of the shutdown, across one of its steps. */
    @ParameterizedTest
    @CsvSource({"20, 250", "300, 590", "500, 640", "580, 690"})
    void respondsOrClosesUnreadRequestDuringShutdown(long blockedFromMs, long blockedUntilMs) throws Exception {
        node = new RunningNode(createConfig());
        Socket idleClient = openIdle(1);
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        CountDownLatch stopped = new CountDownLatch(1);
        long stopStartedNs = node.loop
                .submit(() -> {
                    node.node.stop(stopped::countDown);
                    node.loop.schedule(
                            () -> {
                                blocked.countDown();
                                Fixture.awaitLatch(release);
                            },
                            blockedFromMs,
                            TimeUnit.MILLISECONDS);
                    return System.nanoTime();
                })
                .get();
        assertTrue(blocked.await(FakePeer.AWAIT_TIMEOUT_S, TimeUnit.SECONDS));
        Socket lateClient = null;
        try {
            lateClient = node.connect();
            FakePeer.write(lateClient, get(3));
        } catch (IOException e) {
            assertTrue(blockedFromMs >= 580, "refused while the node still accepts connections");
        }
        while (System.nanoTime() - stopStartedNs < TimeUnit.MILLISECONDS.toNanos(blockedUntilMs)) {
            Thread.onSpinWait();
        }
        FakePeer.write(idleClient, get(2));
        release.countDown();
        assertTrue(assertRespondedOrUnread(idleClient, 2) || blockedUntilMs > 400, "closed too early");
        if (lateClient != null) {
            assertTrue(assertRespondedOrUnread(lateClient, 3), "accepted without a response");
        }
        assertTrue(stopped.await(FakePeer.AWAIT_TIMEOUT_S, TimeUnit.SECONDS));
    }

    /**
     * When the node closes the connection, the kernel still buffers much of the response for the slow client: all of
     * it, or as much as the socket's send buffer holds.
     */
    @ParameterizedTest
    @ValueSource(ints = {8_000, 50_000, 300_000, 1_000_000})
    void lingeringCloseProtectsResponseFromUnreadInput(int length) throws Exception {
        byte[] body = new byte[length];
        new SplittableRandom(length).nextBytes(body);
        CountDownLatch allButLastByteWritten = new CountDownLatch(1);
        server.setScript((socket, request) -> {
            FakePeer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n");
            socket.getOutputStream().write(body, 0, length - 1);
            allButLastByteWritten.countDown();
        });
        node = new RunningNode(createConfig());
        try (Socket client = new Socket()) {
            client.setReceiveBufferSize(4_096);
            client.setSoTimeout((int) TimeUnit.SECONDS.toMillis(FakePeer.AWAIT_TIMEOUT_S));
            client.connect(new InetSocketAddress("127.0.0.1", node.port));
            FakePeer.write(client, Fixture.formatRequest("GET", "/view", 1, "Connection: close\r\n", ""));
            server.nextRequest();
            Socket attemptSocket = FakePeer.awaitNext(server.accepted);
            // The request is queued before the script runs; the last byte must follow the script's bytes.
            ByteArrayOutputStream received = new ByteArrayOutputStream();
            received.write(client.getInputStream().readNBytes(Math.max(0, length - BYTES_LEFT_TO_KERNEL)));
            assertTrue(allButLastByteWritten.await(FakePeer.AWAIT_TIMEOUT_S, TimeUnit.SECONDS));
            CountDownLatch release = node.blockEventLoop();
            attemptSocket.setTcpNoDelay(true);
            // One iteration of the event loop sees the last byte of the response, and input that is never read.
            attemptSocket.getOutputStream().write(body, length - 1, 1);
            FakePeer.write(client, get(2));
            release.countDown();
            node.awaitMetric("in_flight", 0);
            node.loop.submit(() -> {}).get();
            received.write(client.getInputStream().readAllBytes());
            int headLength = received.size() - length;
            assertTrue(headLength > 0 && headLength < 500, "cut off after " + received.size());
            assertArrayEquals(body, Arrays.copyOfRange(received.toByteArray(), headLength, received.size()));
        }
        assertEquals(0, server.requests.size(), "read and forwarded after the close");
    }

    /** A server has sent part of a response, and discovery part of a watch event, when the node shuts down. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 O",
                "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf",
                "HTTP/1.1 503 No\r\n"
            })
    void ignoresPartialResponseAndPartialWatchEventDuringShutdown(String partialResponse) throws Exception {
        JsonObject configJson = createConfig();
        configJson
                .getAsJsonObject("settings")
                .getAsJsonArray("classes")
                .get(2)
                .getAsJsonObject()
                .addProperty("giveUpUs", 900_000);
        server.setScript(FakePeer.respondRaw(partialResponse));
        node = new RunningNode(configJson);
        Socket client = node.connect();
        FakePeer.write(
                client,
                Fixture.formatRequest("POST", "/order", 1, "", "").replace("Ms: " + Fixture.REMAINING_MS, "Ms: 900"));
        server.nextRequest();
        discovery.writePartialLine(Fixture.formatEndpointList(42, true, "Terminating", server));
        CountDownLatch stopped = new CountDownLatch(1);
        node.loop.submit(() -> node.node.stop(stopped::countDown)).get();
        try {
            String response = FakePeer.readMessage(client);
            if (response.startsWith("HTTP/1.1 200")) {
                client.getInputStream().readAllBytes();
                fail("a truncated response looked complete: " + response);
            }
            assertTrue(response.startsWith("HTTP/1.1 5") && !response.startsWith("HTTP/1.1 503"), response);
        } catch (IOException e) {
            // The response was aborted after its start, which the client can detect.
            assertTrue(partialResponse.contains("chunked"), partialResponse);
        }
        assertTrue(stopped.await(FakePeer.AWAIT_TIMEOUT_S, TimeUnit.SECONDS));
        assertEquals(0, node.readMetric("web_servers_excluded"));
        assertNull(server.requests.poll(), "retried");
    }

    @Test
    void servesOthersAndForwardsNothingOfThousandsThatDisconnect() throws Exception {
        JsonObject configJson = createConfig();
        configJson.getAsJsonObject("limits").addProperty("sockets", 256);
        node = new RunningNode(configJson);
        SplittableRandom random = new SplittableRandom(11);
        for (int round = 0; round < 20; round++) {
            CountDownLatch release = node.blockEventLoop();
            for (int i = 0; i < 150; i++) {
                try (Socket client = new Socket("127.0.0.1", node.port)) {
                    String pipelinedRequests = get(1_000 + 1_000 * round + 5 * i) + get(1_001 + 1_000 * round + 5 * i);
                    FakePeer.write(
                            client, pipelinedRequests.substring(0, random.nextInt(pipelinedRequests.length() + 1)));
                    client.setSoLinger(random.nextBoolean(), 0);
                }
            }
            release.countDown();
            Socket connectedClient = node.connect();
            FakePeer.write(connectedClient, get(round));
            assertTrue(FakePeer.readMessage(connectedClient).endsWith("done"));
            assertTrue(
                    server.nextRequest().contains(String.format("%016x", round)),
                    "forwarded after the client had disconnected");
            connectedClient.close();
        }
        node.awaitMetric("in_flight", 0);
        assertEquals(0, server.requests.size());
        assertTrue(server.accepted.size() < 50, server.accepted.size() + " connections for 20 requests");
    }

    /** The requests wait for each other, and each is sent with the deadline of its class as its remaining time. */
    @ParameterizedTest
    @ValueSource(ints = {200, 600})
    void servesHundredsOfPipelinedRequestsAndAnotherClientMeanwhile(int requestCount) throws Exception {
        JsonObject configJson = createConfig();
        configJson
                .getAsJsonObject("settings")
                .getAsJsonArray("realms")
                .get(0)
                .getAsJsonObject()
                .addProperty("quotaPerS", 0);
        node = new RunningNode(configJson);
        Socket pipeliningClient = node.connect();
        StringBuilder pipelinedRequests = new StringBuilder();
        int firstLength = 0;
        for (int i = 0; i < requestCount; i++) {
            pipelinedRequests.append(getWithin(DEADLINE_MS, 1_000 + i));
            firstLength = i < PIPELINED_FIRST ? pipelinedRequests.length() : firstLength;
        }
        Socket otherClient = node.connect();
        CountDownLatch release = node.blockEventLoop();
        FakePeer.write(pipeliningClient, pipelinedRequests.substring(0, firstLength));
        FakePeer.write(otherClient, getWithin(DEADLINE_MS, 1));
        release.countDown();
        FakePeer.write(pipeliningClient, pipelinedRequests.substring(firstLength));
        assertTrue(FakePeer.readMessage(otherClient).endsWith("done"));
        for (int i = 0; i < requestCount; i++) {
            String response = FakePeer.readMessage(pipeliningClient);
            assertTrue(response != null && response.endsWith("done"), i + ": " + response);
        }
        assertEquals(requestCount + 1, server.requests.size(), "forwarded and not served, or twice");
        List<String> forwarded = List.copyOf(server.requests);
        int position = forwarded.indexOf(forwarded.stream()
                .filter(request -> request.contains(String.format("%016x", 1)))
                .findFirst()
                .orElseThrow());
        assertTrue(position < PIPELINED_FIRST, "waited behind " + position + " requests of another client");
    }

    /**
     * The load balancer takes a request that has 20 s of its 30 s left for a client's retry after 10 s, unless most
     * requests arrive with that much time left. Such a retry has missed its latency objective. A pipelined request that
     * has waited for longer than the tolerance (2 % of 30 s) has less time left than most requests. If it had 20 s left
     * when it was sent, it may therefore be rejected (503) before it is forwarded; if it had 30 s left, it is served.
     */
    @ParameterizedTest
    @CsvSource({"30000, 200, 2", "20000, 503, 1"})
    void rejectsPipelinedRequestOnlyIfItsRemainingTimeImpliesAMissedObjective(
            int remainingMs, String status, int forwardedCount) throws Exception {
        node = new RunningNode(createConfig());
        Socket client = node.connect();
        for (int i = 0; i < 10; i++) {
            FakePeer.write(client, getWithin(remainingMs, 100 + i));
            assertTrue(FakePeer.readMessage(client).endsWith("done"));
            server.nextRequest();
        }
        CountDownLatch release = new CountDownLatch(1);
        server.setScript((socket, request) -> {
            Fixture.awaitLatch(release);
            Fixture.RESPOND_OK.run(socket, request);
        });
        FakePeer.write(client, getWithin(remainingMs, 1) + getWithin(remainingMs, 2));
        server.nextRequest();
        node.loop.schedule(release::countDown, DEADLINE_MS * 3 / 100, TimeUnit.MILLISECONDS);
        assertTrue(FakePeer.readMessage(client).endsWith("done"));
        String secondResponse = FakePeer.readMessage(client);
        assertTrue(secondResponse.startsWith("HTTP/1.1 " + status), secondResponse);
        assertEquals(forwardedCount - 1, server.requests.size());
    }

    private static String getWithin(int remainingMs, long id) {
        return get(id).replace("Ms: " + Fixture.REMAINING_MS, "Ms: " + remainingMs);
    }
}
