package tansypass.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tansypass.node.lifecycle.DescriptorLimiter;

/** More client connections than descriptors: the node closes some connections to make room for others. */
@Timeout(120)
class ClientFloodTest extends RunningNodeTestBase {
    /** The limit of descriptors. A third is for clients, a third is reserved, and the rest is for servers. */
    private static final int DESCRIPTOR_LIMIT = 3 * DescriptorLimiter.RESERVED_DESCRIPTORS;

    private static final int MAX_CLIENTS = DESCRIPTOR_LIMIT / 3;
    /** The number of connections accepted in one iteration of the event loop. */
    private static final int ACCEPTED_PER_ITERATION = 16;

    private void start(int descriptorLimit) throws Exception {
        JsonObject configJson = Fixture.createConfig(discovery.peer, server);
        configJson.getAsJsonObject("limits").addProperty("sockets", descriptorLimit);
        node = new RunningNode(configJson);
    }

    private Socket openWithRequest(long id) throws Exception {
        Socket client = node.connect();
        FakePeer.write(client, Fixture.formatRequest("GET", "/view", id, "", ""));
        return client;
    }

    private void assertServed(Socket client) throws Exception {
        String response = FakePeer.readMessage(client);
        assertTrue(response != null && response.startsWith("HTTP/1.1 200"), response);
    }

    /** Opens a connection with a request, and sends only the first bytes of its body. */
    private Socket openWithPartialRequest(long id, int bodyLength, int sentBytes) throws Exception {
        Socket client = node.connect();
        FakePeer.write(
                client,
                Fixture.formatRequest("POST", "/order", id, "", "x".repeat(bodyLength))
                        .replaceFirst("x{" + (bodyLength - sentBytes) + "}$", ""));
        return client;
    }

    /** Opens a connection that is idle after one request. */
    private Socket openIdle() throws Exception {
        Socket client = node.connect();
        assertReady(client);
        return client;
    }

    private void assertReady(Socket client) throws Exception {
        FakePeer.write(client, "GET /ready HTTP/1.1\r\nHost: n\r\n\r\n");
        assertServed(client);
    }

    private static boolean isClosed(Socket client) throws Exception {
        client.setSoTimeout(1);
        try {
            return client.getInputStream().read() < 0;
        } catch (SocketTimeoutException e) {
            return false;
        }
    }

    @Test
    void servesRequestsAmongSilentIdleAndPartialClients() throws Exception {
        start(DESCRIPTOR_LIMIT);
        List<Socket> partialClients = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            node.connect();
            openIdle();
            for (int j = 0; j < 5; j++) {
                partialClients.add(openWithPartialRequest(1_000 + partialClients.size(), 10, 3));
            }
            assertServed(openWithRequest(i));
        }
        assertNull(FakePeer.readMessage(partialClients.get(0)), "not closed to make room");
        assertEquals(20, server.requests.size());
    }

    @Test
    void closesOneIdleConnectionForEachConnectionAcceptedAtOnce() throws Exception {
        start(DESCRIPTOR_LIMIT);
        List<Socket> idleClients = new ArrayList<>();
        for (int i = 0; i < MAX_CLIENTS - 1; i++) {
            idleClients.add(openIdle());
        }
        server.setScript(FakePeer.SILENT);
        CountDownLatch release = node.blockEventLoop();
        for (int i = 0; i < ACCEPTED_PER_ITERATION; i++) {
            openWithRequest(i);
        }
        release.countDown();
        node.awaitMetric("in_flight", ACCEPTED_PER_ITERATION);
        release = node.blockEventLoop();
        int closedCount = 0;
        for (Socket client : idleClients) {
            closedCount += isClosed(client) ? 1 : 0;
        }
        release.countDown();
        assertEquals(ACCEPTED_PER_ITERATION, closedCount);
    }

    @Test
    void closesRequestWithLeastProgressFirst() throws Exception {
        start(DESCRIPTOR_LIMIT);
        Socket readyClient = node.connect();
        Socket uploadingClient = openWithPartialRequest(1, 60_000, 59_990);
        for (int i = 2; i < MAX_CLIENTS - 1; i++) {
            openWithPartialRequest(i, 10, 3);
        }
        for (int i = 0; i < 3; i++) {
            // The node accepts all connections above before it sends the first response, and reads them before it sends
            // the last response.
            assertReady(readyClient);
        }
        for (int i = 0; i < 10; i++) {
            openWithPartialRequest(1_000 + i, 10, 3);
            assertServed(openWithRequest(2_000 + i));
        }
        FakePeer.write(uploadingClient, "x".repeat(10));
        assertServed(uploadingClient);
    }

    @Test
    void deductsTimeInAcceptQueueFromDeadline() throws Exception {
        // Descriptors for one client and one server.
        start(DescriptorLimiter.RESERVED_DESCRIPTORS + 2);
        server.setScript(FakePeer.SILENT);
        Socket firstClient = openWithRequest(1);
        server.nextRequest();
        long fullSinceNs = System.nanoTime();
        Socket waitingClient = openWithRequest(2);
        awaitOneSecond();
        long waitedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - fullSinceNs);
        server.setScript(Fixture.RESPOND_OK);
        firstClient.close();
        long forwardedMs = readRemainingMs(server.nextRequest());
        assertTrue(
                forwardedMs <= Fixture.REMAINING_MS - waitedMs,
                forwardedMs + " ms forwarded after a wait of " + waitedMs);
        assertServed(waitingClient);
        waitingClient.close();
        awaitOneSecond();
        awaitOneSecond();
        assertServed(openWithRequest(3));
        assertTrue(readRemainingMs(server.nextRequest()) > forwardedMs, "treated as if it had waited");
    }

    /** Waits for a second on the event loop. */
    private void awaitOneSecond() throws Exception {
        node.loop.schedule(() -> {}, 1, TimeUnit.SECONDS).get();
    }

    private static long readRemainingMs(String request) {
        return Long.parseLong(FakePeer.findHeader(request, "X-Remaining-Ms"));
    }
}
