package tansypass.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import tansypass.node.http.HeapBufferLimiter;

/** A request is not forwarded after its client has disconnected, wherever the request waits. */
@Timeout(120)
class ClientDisconnectTest extends RunningNodeTestBase {
    private static final String CONNECTED_ID = "00000000000000ff";

    private static String formatGet(long id) {
        return Fixture.formatRequest("GET", "/view", id, "", "");
    }

    /** Asserts that the next request a server receives is that of a client which stays connected. */
    private void assertOnlyConnectedClientIsForwarded() throws Exception {
        Socket otherClient = node.connect();
        FakePeer.write(otherClient, formatGet(0xff));
        assertTrue(FakePeer.readMessage(otherClient).startsWith("HTTP/1.1 200"));
        assertEquals(CONNECTED_ID, FakePeer.findHeader(server.nextRequest(), "X-Txn"));
        assertTrue(server.requests.isEmpty(), "forwarded after the client had disconnected");
        node.awaitMetric("in_flight", 0);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 20, 500})
    void dropsPipelinedRequestsBehindOneInFlight(int pipelinedCount) throws Exception {
        server.setScript(FakePeer.SILENT);
        node = new RunningNode(Fixture.createConfig(discovery.peer, server));
        Socket client = node.connect();
        FakePeer.write(client, formatGet(1));
        server.nextRequest();
        StringBuilder pipeline = new StringBuilder();
        for (int i = 0; i < pipelinedCount; i++) {
            pipeline.append(formatGet(2 + i));
        }
        FakePeer.write(client, pipeline.toString());
        client.close();
        FakePeer.awaitNext(server.closedConnections);
        server.setScript(Fixture.RESPOND_OK);
        assertOnlyConnectedClientIsForwarded();
    }

    @Test
    void closesConnectionAfterPendingResponseWhenPipelineIsTooLong() throws Exception {
        server.setScript(FakePeer.SILENT);
        node = new RunningNode(Fixture.createConfig(discovery.peer, server));
        Socket client = node.connect();
        FakePeer.write(client, formatGet(1));
        server.nextRequest();
        Thread sender = new Thread(() -> {
            try {
                for (int i = 0; i < 4_000; i++) {
                    FakePeer.write(client, formatGet(2 + i));
                }
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
        sender.start();
        // The node has read and dropped all of these requests.
        sender.join();
        FakePeer.write(FakePeer.awaitNext(server.accepted), "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
        String response = FakePeer.readMessage(client);
        assertTrue(response.endsWith("done"), response);
        assertEquals("close", FakePeer.findHeader(response, "Connection"));
        assertNull(FakePeer.readMessage(client));
        server.setScript(Fixture.RESPOND_OK);
        assertOnlyConnectedClientIsForwarded();
    }

    @Test
    void dropsRequestsInSocketBuffersOfClosedConnections() throws Exception {
        node = new RunningNode(Fixture.createConfig(discovery.peer, server));
        CountDownLatch release = node.blockEventLoop();
        for (int i = 1; i < 20; i++) {
            try (Socket client = node.connect()) {
                FakePeer.write(client, formatGet(i));
            }
        }
        release.countDown();
        assertOnlyConnectedClientIsForwarded();
        node.awaitMetric("abandoned", 19);
    }

    @Test
    void dropsRequestQueuedInBalancer() throws Exception {
        JsonObject configJson = Fixture.createConfig(discovery.peer, server);
        configJson.add("known", JsonParser.parseString(Fixture.formatEndpointList(41, true, "Terminating", server)));
        node = new RunningNode(configJson);
        Socket client = node.connect();
        FakePeer.write(client, formatGet(1));
        node.awaitMetric("in_flight", 1);
        client.close();
        node.awaitMetric("abandoned", 1);
        publishReadyServer();
        assertOnlyConnectedClientIsForwarded();
    }

    private void publishReadyServer() throws Exception {
        discovery.publish(Fixture.formatEndpointList(42, true, "Ready", server));
    }

    @Test
    void dropsPartialBodyWhileReadingIsPaused() throws Exception {
        JsonObject configJson = Fixture.createConfig(discovery.peer, server);
        configJson.add("known", JsonParser.parseString(Fixture.formatEndpointList(41, true, "Terminating", server)));
        node = new RunningNode(configJson);
        String body = "x".repeat(HeapBufferLimiter.WINDOW_BYTES + 60_000);
        Socket client = node.connect();
        FakePeer.write(client, Fixture.formatRequest("POST", "/slow", 1, "", body));
        client.close();
        publishReadyServer();
        // The node sees the end of the client's connection before it sees the ready server.
        FakePeer.awaitNext(server.closedConnections);
        String partial = server.requests.poll();
        assertTrue(
                partial == null || !partial.endsWith(body), "forwarded completely after the client had disconnected");
        assertOnlyConnectedClientIsForwarded();
    }

    @Test
    void dropsRequestsThatConnectToServerOrAwaitRetry() throws Exception {
        server.setScript(FakePeer.RESET);
        List<Socket> queuedSockets = new ArrayList<>();
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            queuedSockets.addAll(Fixture.fillAcceptQueue(listener));
            String endpointList = Fixture.formatEndpointList(41, true, "Ready", server, server)
                    .replaceFirst("s-" + server.port(), "s-1")
                    .replaceFirst(server.address(), "127.0.0.1:" + listener.getLocalPort());
            JsonObject configJson = Fixture.createConfig(discovery.peer, server);
            configJson.add("known", JsonParser.parseString(endpointList));
            node = new RunningNode(configJson);
            List<Socket> clients = new ArrayList<>();
            for (int i = 1; i <= 8; i++) {
                Socket client = node.connect();
                clients.add(client);
                FakePeer.write(client, formatGet(i));
            }
            node.awaitMetric("in_flight", 8);
            for (Socket client : clients) {
                client.close();
            }
            node.awaitMetric("in_flight", 0);
            long attemptsBefore = node.readMetric("attempts");
            // Accepting lets the connections that were opened for these requests be established.
            listener.setSoTimeout((int) TimeUnit.SECONDS.toMillis(FakePeer.AWAIT_TIMEOUT_S));
            for (int i = 0; i < queuedSockets.size(); i++) {
                listener.accept();
            }
            node.loop.submit(() -> {}).get();
            assertEquals(attemptsBefore, node.readMetric("attempts"), "forwarded after the client had disconnected");
        }
        for (Socket socket : queuedSockets) {
            socket.close();
        }
    }
}
