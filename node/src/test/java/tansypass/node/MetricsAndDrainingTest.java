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

/** The admin interface of a running node: metrics that match the traffic, and draining. */
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

    private int readinessStatus() throws Exception {
        return status(sendRequest(node.port, "GET /ready HTTP/1.1\r\n\r\n"));
    }

    private static int status(String response) {
        return Integer.parseInt(response.substring(9, 12));
    }

    private Map<String, Integer> readMetrics() throws Exception {
        String response = callAdmin("GET", "/_vars");
        return response.substring(response.indexOf("\r\n\r\n") + 4)
                .lines()
                .map(l -> l.split("="))
                .collect(Collectors.toMap(l -> l[0], l -> Integer.valueOf(l[1])));
    }

    /** Waits for a metric: a client has its response a moment before it is counted. */
    private void awaitMetric(String name, int expected) throws Exception {
        awaitValue(expected, () -> readMetrics().get(name), name);
    }

    /** Polls until the value is as expected; fails after {@link FakePeer#AWAIT_TIMEOUT_S}. */
    private static void awaitValue(int expected, Callable<Integer> actual, String name) throws Exception {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(FakePeer.AWAIT_TIMEOUT_S);
        int last = actual.call();
        while (last != expected && System.nanoTime() < deadline) {
            Thread.onSpinWait();
            last = actual.call();
        }
        assertEquals(expected, last, name);
    }

    @Test
    void metricsMatchWhatClientsAndServersSaw() throws Exception {
        start(server);
        try (Socket client = node.connect()) {
            assertEquals(200, status(sendRequest(client, Fixture.formatRequest("GET", "/view", 1, "", ""))));
            // Sent to the only server: a non-idempotent request fails without a retry.
            server.setScript(FakePeer.respondWith("500 No", "", ""));
            assertEquals(502, status(sendRequest(client, Fixture.formatRequest("POST", "/order", 2, "", "x"))));
            // Overloaded, so known not executed: retried until the deadline or the maximum of attempts, then rejected.
            server.setScript(FakePeer.respondWith("503 Full", "X-Turned-Away: 1\r\n", ""));
            assertEquals(
                    503,
                    status(sendRequest(
                            client,
                            Fixture.formatRequest("GET", "/view", 3, "", "").replace("20000", "300"))));
            // Times out at a silent server.
            server.setScript(FakePeer.SILENT);
            int late = status(sendRequest(
                    client, Fixture.formatRequest("POST", "/order", 4, "", "x").replace("20000", "300")));
            assertTrue(late != 200 && late != 503, "possibly executed, yet answered " + late);
            // A path that no class serves counts nowhere.
            assertEquals(404, status(sendRequest(client, Fixture.formatRequest("GET", "/nothing", 5, "", ""))));
        }
        awaitMetric("node.requests.order.failed", 2);
        awaitMetric("node.in_flight", 0);
        try (Socket disconnecting = node.connect()) {
            int before = readMetrics().get("node.attempts");
            FakePeer.write(disconnecting, Fixture.formatRequest("POST", "/slow", 6, "", "x"));
            awaitMetric("node.in_flight", 1);
            awaitMetric("node.attempts", before + 1);
        }
        awaitMetric("node.in_flight", 0);
        Map<String, Integer> metrics = readMetrics();
        assertEquals(1, metrics.get("node.requests.view.served"));
        assertEquals(1, metrics.get("node.requests.view.refused"));
        assertEquals(0, metrics.get("node.requests.view.failed"));
        assertEquals(0, metrics.get("node.requests.order.served"));
        assertEquals(0, metrics.get("node.requests.slow.served"));
        // The server may read a request a moment after the node has written it.
        awaitValue(metrics.get("node.attempts"), server.requests::size, "requests received");
        assertEquals(1, metrics.get("node.web_servers_known"));
    }

    @Test
    void failingAndDrainingServersAreCountedAsExcluded() throws Exception {
        try (FakePeer failing = new FakePeer(FakePeer.RESET);
                FakePeer third = new FakePeer(Fixture.RESPOND_OK)) {
            start(server, failing, third);
            assertEquals(3, readMetrics().get("node.web_servers_known"));
            assertEquals(0, readMetrics().get("node.web_servers_excluded"));
            try (Socket client = node.connect()) {
                for (int i = 0; failing.requests.size() < 6 && i < 1_000; i++) {
                    sendRequest(client, Fixture.formatRequest("GET", "/view", i, "", ""));
                }
            }
            awaitMetric("node.web_servers_excluded", 1);
            discovery.publish(Fixture.formatEndpointList(42, false, "Terminating", third));
            awaitMetric("node.web_servers_excluded", 2);
            assertEquals(3, readMetrics().get("node.web_servers_known"));
            discovery.publish(Fixture.formatEndpointList(43, false, "Gone", third, failing));
            awaitMetric("node.web_servers_known", 1);
            awaitMetric("node.web_servers_excluded", 0);
        }
    }

    @Test
    void adminCallsAreServedWhileEventLoopIsBlocked() throws Exception {
        start(server);
        CountDownLatch release = new CountDownLatch(1);
        // Without a time limit: no call below may wait for the event loop.
        node.loop.execute(() -> {
            try {
                release.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        try {
            assertEquals(200, status(callAdmin("GET", "/_ready")));
            assertTrue(readMetrics().containsKey("node.attempts"));
            assertEquals(200, status(callAdmin("POST", "/_lameduck/on")));
        } finally {
            release.countDown();
        }
        assertEquals(503, readinessStatus());
    }

    @Test
    void drainingClosesConnectionsAndLosesNoRequest() throws Exception {
        server.setScript(FakePeer.SILENT);
        start(server);
        try (Socket idle = node.connect();
                Socket working = node.connect()) {
            assertEquals(200, status(sendRequest(idle, "GET /ready HTTP/1.1\r\n\r\n")));
            FakePeer.write(working, Fixture.formatRequest("POST", "/order", 1, "", "x"));
            server.nextRequest();
            assertEquals(200, status(callAdmin("POST", "/_lameduck/on")));
            assertEquals(200, status(callAdmin("POST", "/_lameduck/on")));
            assertEquals(503, readinessStatus());
            assertNull(FakePeer.readMessage(idle), "an idle connection is closed");
            FakePeer.write(FakePeer.awaitNext(server.accepted), "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
            String response = FakePeer.readMessage(working);
            assertTrue(response.startsWith("HTTP/1.1 200") && response.endsWith("done"), response);
            assertEquals("close", FakePeer.findHeader(response, "Connection"));
            assertNull(FakePeer.readMessage(working), "still open although the node is draining");
        }
        // Clients may still send requests for a moment.
        server.setScript(Fixture.RESPOND_OK);
        try (Socket late = node.connect()) {
            String response = sendRequest(late, Fixture.formatRequest("GET", "/view", 2, "", ""));
            assertEquals(200, status(response));
            assertEquals("close", FakePeer.findHeader(response, "Connection"));
        }
        assertEquals(200, status(callAdmin("POST", "/_lameduck/off")));
        assertEquals(200, readinessStatus());
        try (Socket back = node.connect()) {
            for (int i = 3; i < 5; i++) {
                assertEquals(200, status(sendRequest(back, Fixture.formatRequest("GET", "/view", i, "", ""))));
            }
        }
    }
}
