package tansypass.node;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import com.google.gson.JsonObject;
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

/** Bytes that arrive just as a node closes a connection or shuts down, and floods of connections and requests. */
@Timeout(120)
class ConnectionCloseTest extends RunningNodeTestBase {
    /** The deadline of a request over all attempts of its client, by the settings. */
    private static final int DEADLINE_MS = 30_000;
    /** Pipelined requests sent before another client's request. */
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

    /** Asserts that the request was answered and forwarded once, or not forwarded; returns whether it was answered. */
    private boolean assertAnsweredOrUnread(Socket client, long id) throws Exception {
        String response = null;
        try {
            response = FakePeer.readMessage(client);
        } catch (IOException e) {
            // The connection was reset, since it was closed with unread input.
            response = null;
        }
        node.loop.submit(() -> {}).get();
        long sent = server.requests.stream()
                .filter(r -> r.contains(String.format("%016x", id)))
                .count();
        assertEquals(response == null ? 0 : 1, sent, response);
        assertTrue(response == null || response.endsWith("done"), response);
        return response != null;
    }

    @ParameterizedTest
    @CsvSource({"8, true", "8, false", "12, true", "12, false"})
    void answersOrClosesUnreadRequestOnReclaimedIdleConnection(int sockets, boolean requestFirst) throws Exception {
        JsonObject json = createConfig();
        json.getAsJsonObject("limits").addProperty("sockets", DescriptorLimiter.RESERVED_DESCRIPTORS + sockets);
        node = new RunningNode(json);
        int unread = 0;
        for (int i = 1; i < 60; i += 2) {
            Socket idle = openIdle(i);
            CountDownLatch release = node.blockEventLoop();
            if (requestFirst) {
                FakePeer.write(idle, get(i + 1));
            }
            List<Socket> others = new ArrayList<>();
            for (int j = 0; j < sockets; j++) {
                others.add(node.connect());
            }
            if (!requestFirst) {
                FakePeer.write(idle, get(i + 1));
            }
            release.countDown();
            unread += assertAnsweredOrUnread(idle, i + 1) ? 0 : 1;
            for (Socket other : others) {
                other.close();
            }
            idle.close();
        }
        assertTrue(requestFirst || unread > 0, "never closed in that moment");
    }

    /** The event loop is blocked from one time after the shutdown began to another, across a step of the shutdown. */
    @ParameterizedTest
    @CsvSource({"20, 250", "300, 590", "500, 640", "580, 690"})
    void answersOrClosesUnreadRequestDuringShutdown(long fromMs, long untilMs) throws Exception {
        node = new RunningNode(createConfig());
        Socket idle = openIdle(1);
        CountDownLatch held = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        CountDownLatch stopped = new CountDownLatch(1);
        long from = node.loop
                .submit(() -> {
                    node.node.stop(stopped::countDown);
                    node.loop.schedule(
                            () -> {
                                held.countDown();
                                Fixture.awaitLatch(release);
                            },
                            fromMs,
                            TimeUnit.MILLISECONDS);
                    return System.nanoTime();
                })
                .get();
        assertTrue(held.await(FakePeer.AWAIT_TIMEOUT_S, TimeUnit.SECONDS));
        Socket late = null;
        try {
            late = node.connect();
            FakePeer.write(late, get(3));
        } catch (IOException e) {
            assertTrue(fromMs >= 580, "refused while connections still come");
        }
        while (System.nanoTime() - from < TimeUnit.MILLISECONDS.toNanos(untilMs)) {
            Thread.onSpinWait();
        }
        FakePeer.write(idle, get(2));
        release.countDown();
        assertTrue(assertAnsweredOrUnread(idle, 2) || untilMs > 400, "closed early");
        if (late != null) {
            assertTrue(assertAnsweredOrUnread(late, 3), "taken and not answered");
        }
        assertTrue(stopped.await(FakePeer.AWAIT_TIMEOUT_S, TimeUnit.SECONDS));
    }

    /** The client reads so slowly that the kernel still holds much of the response when the connection is closed. */
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
            Socket attempt = FakePeer.awaitNext(server.accepted);
            // The request is announced before the script runs: the last byte must not overtake the others.
            assertTrue(allButLastByteWritten.await(FakePeer.AWAIT_TIMEOUT_S, TimeUnit.SECONDS));
            CountDownLatch release = node.blockEventLoop();
            attempt.setTcpNoDelay(true);
            // In one iteration of the event loop: the last byte of the response, then input that is never read.
            attempt.getOutputStream().write(body, length - 1, 1);
            FakePeer.write(client, get(2));
            release.countDown();
            node.awaitMetric("in_flight", 0);
            node.loop.submit(() -> {}).get();
            byte[] got = client.getInputStream().readAllBytes();
            int head = got.length - length;
            assertTrue(head > 0 && head < 500, "cut off after " + got.length);
            assertArrayEquals(body, Arrays.copyOfRange(got, head, got.length));
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
        JsonObject json = createConfig();
        json.getAsJsonObject("settings")
                .getAsJsonArray("classes")
                .get(2)
                .getAsJsonObject()
                .addProperty("giveUpUs", 900_000);
        server.setScript(FakePeer.respondRaw(partialResponse));
        node = new RunningNode(json);
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
                fail("a response that was cut off looked complete: " + response);
            }
            assertTrue(response.startsWith("HTTP/1.1 5") && !response.startsWith("HTTP/1.1 503"), response);
        } catch (IOException e) {
            // Cut off after its start, which the client can tell.
            assertTrue(partialResponse.contains("chunked"), partialResponse);
        }
        assertTrue(stopped.await(FakePeer.AWAIT_TIMEOUT_S, TimeUnit.SECONDS));
        assertEquals(0, node.readMetric("web_servers_excluded"));
        assertNull(server.requests.poll(), "retried");
    }

    @Test
    void servesOthersAndForwardsNothingOfThousandsThatDisconnect() throws Exception {
        JsonObject json = createConfig();
        json.getAsJsonObject("limits").addProperty("sockets", 256);
        node = new RunningNode(json);
        SplittableRandom random = new SplittableRandom(11);
        for (int round = 0; round < 20; round++) {
            CountDownLatch release = node.blockEventLoop();
            for (int i = 0; i < 150; i++) {
                try (Socket client = new Socket("127.0.0.1", node.port)) {
                    String pipelining = get(1_000 + 1_000 * round + 5 * i) + get(1_001 + 1_000 * round + 5 * i);
                    FakePeer.write(client, pipelining.substring(0, random.nextInt(pipelining.length() + 1)));
                    client.setSoLinger(random.nextBoolean(), 0);
                }
            }
            release.countDown();
            Socket stays = node.connect();
            FakePeer.write(stays, get(round));
            assertTrue(FakePeer.readMessage(stays).endsWith("done"));
            assertTrue(
                    server.nextRequest().contains(String.format("%016x", round)),
                    "forwarded after the client had disconnected");
            stays.close();
        }
        node.awaitMetric("in_flight", 0);
        assertEquals(0, server.requests.size());
        assertTrue(server.accepted.size() < 50, server.accepted.size() + " connections for 20 requests");
    }

    /** The requests wait for one another; each has the deadline of its class left. */
    @ParameterizedTest
    @ValueSource(ints = {200, 600})
    void servesHundredsOfPipelinedRequestsAndAnotherClientMeanwhile(int requests) throws Exception {
        JsonObject json = createConfig();
        json.getAsJsonObject("settings")
                .getAsJsonArray("realms")
                .get(0)
                .getAsJsonObject()
                .addProperty("quotaPerS", 0);
        node = new RunningNode(json);
        Socket pipelining = node.connect();
        StringBuilder all = new StringBuilder();
        int first = 0;
        for (int i = 0; i < requests; i++) {
            all.append(getWithin(DEADLINE_MS, 1_000 + i));
            first = i < PIPELINED_FIRST ? all.length() : first;
        }
        Socket other = node.connect();
        CountDownLatch release = node.blockEventLoop();
        FakePeer.write(pipelining, all.substring(0, first));
        FakePeer.write(other, getWithin(DEADLINE_MS, 1));
        release.countDown();
        FakePeer.write(pipelining, all.substring(first));
        assertTrue(FakePeer.readMessage(other).endsWith("done"));
        for (int i = 0; i < requests; i++) {
            String response = FakePeer.readMessage(pipelining);
            assertTrue(response != null && response.endsWith("done"), i + ": " + response);
        }
        assertEquals(requests + 1, server.requests.size(), "forwarded and not served, or twice");
        List<String> sent = List.copyOf(server.requests);
        int place = sent.indexOf(sent.stream()
                .filter(request -> request.contains(String.format("%016x", 1)))
                .findFirst()
                .orElseThrow());
        assertTrue(place < PIPELINED_FIRST, "waited behind " + place + " requests of another client");
    }

    /**
     * A request with 20 s left of 30 s is taken to be a client's retry after 10 s, with its objective missed, unless
     * most requests have so much left. One that has waited behind another for more than the tolerance (2 % of 30 s) has
     * less than most: it may be rejected (503) then, before it is forwarded, and in no other case.
     */
    @ParameterizedTest
    @CsvSource({"30000, 200, 2", "20000, 503, 1"})
    void rejectsPipelinedRequestOnlyIfItsRemainingTimeTellsOfAMissedObjective(
            int remainingMs, String status, int forwarded) throws Exception {
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
        String second = FakePeer.readMessage(client);
        assertTrue(second.startsWith("HTTP/1.1 " + status), second);
        assertEquals(forwarded - 1, server.requests.size());
    }

    private static String getWithin(int remainingMs, long id) {
        return get(id).replace("Ms: " + Fixture.REMAINING_MS, "Ms: " + remainingMs);
    }
}
