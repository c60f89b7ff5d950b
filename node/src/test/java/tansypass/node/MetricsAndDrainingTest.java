package tansypass.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tansypass.node.admin.AdminServer;

/** The admin interface of a running node: the metrics match the traffic, and draining loses no request. */
@Timeout(120)
class MetricsAndDrainingTest extends RunningNodeTestBase {
    private EventLoopGroup adminGroup;
    private int adminPort;

    @BeforeEach
    void openAdminGroup() {
        adminGroup = new TestEventLoopGroup(NioIoHandler.newFactory());
    }

    @AfterEach
    void closeAdminGroup() throws Exception {
        adminGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    private void start(FakePeer... servers) throws Exception {
        node = new RunningNode(Fixture.createConfig(discovery.peer, servers));
        adminPort = ((InetSocketAddress) new AdminServer(node.node.metrics(), node.node.lifecycle(), 60_000)
                        .listen(adminGroup, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                        .sync()
                        .channel()
                        .localAddress())
                .getPort();
    }

    private static String sendRequest(Socket socket, String request) throws Exception {
        FakePeer.write(socket, request);
        return FakePeer.readMessage(socket);
    }

    private static String sendRequest(int port, String request) throws Exception {
        try (Socket socket = Fixture.connect(port)) {
            return sendRequest(socket, request);
        }
    }

    private String callAdmin(String method, String path) throws Exception {
        return sendRequest(adminPort, method + " " + path + " HTTP/1.1\r\n\r\n");
    }

    private int getReadinessStatus() throws Exception {
        return parseStatus(sendRequest(node.port, "GET /ready HTTP/1.1\r\n\r\n"));
    }

    private static int parseStatus(String response) {
        return Integer.parseInt(response.substring(9, 12));
    }

    private Map<String, Long> readMetrics() throws Exception {
        String response = callAdmin("GET", "/_vars");
        return response.substring(response.indexOf("\r\n\r\n") + 4)
                .lines()
                .map(l -> l.split("="))
                .collect(Collectors.toMap(l -> l[0], l -> Long.valueOf(l[1])));
    }

    /** Waits until a metric has a value. Needed because a client receives its response shortly before it is counted. */
    private void awaitMetric(String name, long expected) throws Exception {
        awaitValue(expected, () -> readMetrics().get(name), name);
    }

    /** Polls a value until it is as expected. Fails after {@link FakePeer#AWAIT_TIMEOUT_S}. */
    private static void awaitValue(long expected, Callable<Long> actual, String name) throws Exception {
        long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(FakePeer.AWAIT_TIMEOUT_S);
        long lastValue = actual.call();
        while (lastValue != expected && System.nanoTime() < deadlineNs) {
            Thread.onSpinWait();
            lastValue = actual.call();
        }
        assertEquals(expected, lastValue, name);
    }

    @Test
    void metricsMatchWhatClientsAndServersSaw() throws Exception {
        start(server);
        try (Socket client = node.connect()) {
            assertEquals(200, parseStatus(sendRequest(client, Fixture.formatRequest("GET", "/view", 1, "", ""))));
            // The only server has received the request. The request is non-idempotent, so it fails without a retry.
            server.setScript(FakePeer.respondWith("500 No", "", ""));
            assertEquals(502, parseStatus(sendRequest(client, Fixture.formatRequest("POST", "/order", 2, "", "x"))));
            // The server is overloaded, so the request is known not to have been executed. It is retried until its
            // deadline or the maximum number of attempts, and then rejected.
            server.setScript(FakePeer.respondWith("503 Full", "X-Turned-Away: 1\r\n", ""));
            assertEquals(
                    503,
                    parseStatus(sendRequest(
                            client,
                            Fixture.formatRequest("GET", "/view", 3, "", "").replace("20000", "300"))));
            // A request to a server that never responds times out.
            server.setScript(FakePeer.SILENT);
            int timedOutStatus = parseStatus(sendRequest(
                    client, Fixture.formatRequest("POST", "/order", 4, "", "x").replace("20000", "300")));
            assertTrue(
                    timedOutStatus != 200 && timedOutStatus != 503,
                    "possibly executed, yet answered " + timedOutStatus);
            // A request whose path belongs to no class is not counted.
            assertEquals(404, parseStatus(sendRequest(client, Fixture.formatRequest("GET", "/nothing", 5, "", ""))));
        }
        awaitMetric("node.requests.order.failed", 2);
        awaitMetric("node.in_flight", 0);
        try (Socket client = node.connect()) {
            long attemptsBefore = readMetrics().get("node.attempts");
            FakePeer.write(client, Fixture.formatRequest("POST", "/slow", 6, "", "x"));
            awaitMetric("node.in_flight", 1);
            awaitMetric("node.attempts", attemptsBefore + 1);
        }
        awaitMetric("node.in_flight", 0);
        Map<String, Long> metrics = readMetrics();
        assertEquals(1, metrics.get("node.requests.view.served"));
        assertEquals(1, metrics.get("node.requests.view.refused"));
        assertEquals(0, metrics.get("node.requests.view.failed"));
        assertEquals(0, metrics.get("node.requests.order.served"));
        assertEquals(0, metrics.get("node.requests.slow.served"));
        // The server may read a request shortly after the node has written it.
        awaitValue(metrics.get("node.attempts"), () -> (long) server.requests.size(), "requests received");
        assertEquals(1, metrics.get("node.web_servers_known"));
    }

    @Test
    void failingAndDrainingServersAreCountedAsExcluded() throws Exception {
        try (FakePeer failingServer = new FakePeer(FakePeer.RESET);
                FakePeer thirdServer = new FakePeer(Fixture.RESPOND_OK)) {
            start(server, failingServer, thirdServer);
            assertEquals(3, readMetrics().get("node.web_servers_known"));
            assertEquals(0, readMetrics().get("node.web_servers_excluded"));
            try (Socket client = node.connect()) {
                for (int i = 0; failingServer.requests.size() < 6 && i < 1_000; i++) {
                    sendRequest(client, Fixture.formatRequest("GET", "/view", i, "", ""));
                }
            }
            awaitMetric("node.web_servers_excluded", 1);
            discovery.publish(Fixture.formatEndpointList(42, false, "Terminating", thirdServer));
            awaitMetric("node.web_servers_excluded", 2);
            assertEquals(3, readMetrics().get("node.web_servers_known"));
            discovery.publish(Fixture.formatEndpointList(43, false, "Gone", thirdServer, failingServer));
            awaitMetric("node.web_servers_known", 1);
            awaitMetric("node.web_servers_excluded", 0);
        }
    }

    @Test
    void adminCallsAreServedWhileEventLoopIsBlocked() throws Exception {
        start(server);
        CountDownLatch unblock = new CountDownLatch(1);
        // The event loop stays blocked until all calls below have returned, so no call may wait for it.
        node.loop.execute(() -> {
            try {
                unblock.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        try {
            assertEquals(200, parseStatus(callAdmin("GET", "/_ready")));
            assertTrue(readMetrics().containsKey("node.attempts"));
            assertEquals(200, parseStatus(callAdmin("POST", "/_lameduck/on")));
        } finally {
            unblock.countDown();
        }
        assertEquals(503, getReadinessStatus());
    }

    @Test
    void drainingClosesConnectionsAndLosesNoRequest() throws Exception {
        server.setScript(FakePeer.SILENT);
        start(server);
        try (Socket idleClient = node.connect();
                Socket busyClient = node.connect()) {
            assertEquals(200, parseStatus(sendRequest(idleClient, "GET /ready HTTP/1.1\r\n\r\n")));
            FakePeer.write(busyClient, Fixture.formatRequest("POST", "/order", 1, "", "x"));
            server.nextRequest();
            assertEquals(200, parseStatus(callAdmin("POST", "/_lameduck/on")));
            assertEquals(200, parseStatus(callAdmin("POST", "/_lameduck/on")));
            assertEquals(503, getReadinessStatus());
            assertNull(FakePeer.readMessage(idleClient), "an idle connection is closed");
            FakePeer.write(FakePeer.awaitNext(server.accepted), "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
            String response = FakePeer.readMessage(busyClient);
            assertTrue(response.startsWith("HTTP/1.1 200") && response.endsWith("done"), response);
            assertEquals("close", FakePeer.findHeader(response, "Connection"));
            assertNull(FakePeer.readMessage(busyClient), "still open although the node is draining");
        }
        // For a short time, clients may still send requests to a node that is draining.
        server.setScript(Fixture.RESPOND_OK);
        try (Socket lateClient = node.connect()) {
            String response = sendRequest(lateClient, Fixture.formatRequest("GET", "/view", 2, "", ""));
            assertEquals(200, parseStatus(response));
            assertEquals("close", FakePeer.findHeader(response, "Connection"));
        }
        assertEquals(200, parseStatus(callAdmin("POST", "/_lameduck/off")));
        assertEquals(200, getReadinessStatus());
        try (Socket newClient = node.connect()) {
            for (int i = 3; i < 5; i++) {
                assertEquals(
                        200, parseStatus(sendRequest(newClient, Fixture.formatRequest("GET", "/view", i, "", ""))));
            }
        }
    }
}
