package tansypass.node.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import tansypass.balancer.AttemptResult;
import tansypass.node.FakePeer;
import tansypass.node.Fixture;
import tansypass.node.endpoint.EndpointList;

/** The reuse of connections that are idle, in quarantine, or belong to a moved or draining server. */
@Timeout(120)
class UpstreamConnectionPoolTest extends UpstreamTestBase {
    @Test
    void mostRecentlyUsedConnectionIsReusedFirst() throws Exception {
        BlockingQueue<Socket> usedConnections = new LinkedBlockingQueue<>();
        server.setScript((socket, request) -> usedConnections.add(socket));
        UpstreamConnectionPool pool = openPool(server.address(), IDLE_US);
        RecordingHandler firstHandler = new RecordingHandler(1);
        RecordingHandler secondHandler = new RecordingHandler(2);
        start(pool, firstHandler);
        start(pool, secondHandler);
        Socket usedFirst = FakePeer.awaitNext(usedConnections);
        Socket usedSecond = FakePeer.awaitNext(usedConnections);
        FakePeer.write(usedFirst, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        FakePeer.awaitNext(
                firstHandler.reports.isEmpty() && secondHandler.reports.isEmpty()
                        ? awaitEither(firstHandler, secondHandler)
                        : firstHandler.reports.isEmpty() ? secondHandler.reports : firstHandler.reports);
        FakePeer.write(usedSecond, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        FakePeer.awaitNext(awaitEither(firstHandler, secondHandler));
        RecordingHandler thirdHandler = new RecordingHandler(3);
        start(pool, thirdHandler);
        assertSame(usedSecond, FakePeer.awaitNext(usedConnections));
    }

    @Test
    void connectionInQuarantineIsNotReusedEvenAfterItsFirstResponse() throws Exception {
        UpstreamConnectionPool pool = openPool(server.address(), IDLE_US, TimeUnit.MINUTES.toMillis(10));
        RecordingHandler firstHandler = new RecordingHandler(10);
        start(pool, firstHandler);
        assertEquals(AttemptResult.OK, firstHandler.awaitReport().result());
        Socket usedConnection = FakePeer.awaitNext(server.accepted);
        RecordingHandler secondHandler = new RecordingHandler(10);
        start(pool, secondHandler);
        RecordingHandler abortedHandler = new RecordingHandler(10);
        loop.submit(() -> pool.startAttempt("s", abortedHandler).abort(AttemptResult.TIMEOUT))
                .get();
        assertEquals(AttemptResult.NOT_SENT, abortedHandler.awaitReport().result());
        FakePeer.write(usedConnection, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong");
        assertEquals("hello", new String(secondHandler.awaitReport().response().body(), StandardCharsets.UTF_8));
        assertSame(usedConnection, FakePeer.awaitNext(server.closedConnections));
        assertEquals(2, server.requests.size());
    }

    @Test
    void waitingAttemptUsesAConnectionThatLeavesQuarantine() throws Exception {
        List<Socket> queuedSockets = new ArrayList<>();
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            UpstreamConnectionPool pool = openPool("127.0.0.1:" + listener.getLocalPort(), IDLE_US, 20);
            RecordingHandler firstHandler = new RecordingHandler(10);
            start(pool, firstHandler);
            Socket usedConnection = listener.accept();
            FakePeer.readMessage(usedConnection);
            // From now on no further connection can be established.
            queuedSockets.addAll(Fixture.fillAcceptQueue(listener));
            FakePeer.write(usedConnection, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            assertEquals(AttemptResult.OK, firstHandler.awaitReport().result());
            RecordingHandler secondHandler = new RecordingHandler(10);
            start(pool, secondHandler);
            assertTrue(FakePeer.readMessage(usedConnection) != null, "not sent on the idle connection");
            FakePeer.write(usedConnection, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            assertEquals(AttemptResult.OK, secondHandler.awaitReport().result());
        }
        for (Socket socket : queuedSockets) {
            socket.close();
        }
    }

    private static BlockingQueue<Report> awaitEither(RecordingHandler a, RecordingHandler b)
            throws InterruptedException {
        long timeoutNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(FakePeer.AWAIT_TIMEOUT_S);
        while (a.reports.isEmpty() && b.reports.isEmpty() && System.nanoTime() < timeoutNs) {
            Report report = a.reports.poll(1, TimeUnit.MILLISECONDS);
            if (report != null) {
                a.reports.add(report);
            }
        }
        return a.reports.isEmpty() ? b.reports : a.reports;
    }

    @Test
    void connectionClosedOrWrittenToByServerIsNotReused() throws Exception {
        UpstreamConnectionPool pool = openPool(server.address(), IDLE_US);
        String unsolicitedResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong";
        for (String unsolicited : Arrays.asList(null, unsolicitedResponse, "HTT")) {
            RecordingHandler firstHandler = new RecordingHandler(10);
            start(pool, firstHandler);
            assertEquals(AttemptResult.OK, firstHandler.awaitReport().result());
            Socket idleConnection = FakePeer.awaitNext(server.accepted);
            if (unsolicited == null) {
                // Closes one direction only. The pool closes the other one when it has noticed this.
                idleConnection.shutdownOutput();
            } else {
                FakePeer.write(idleConnection, unsolicited);
            }
            assertSame(idleConnection, FakePeer.awaitNext(server.closedConnections));
            RecordingHandler secondHandler = new RecordingHandler(10);
            start(pool, secondHandler);
            assertEquals(
                    "hello", new String(secondHandler.awaitReport().response().body(), StandardCharsets.UTF_8));
            FakePeer.awaitNext(server.accepted).shutdownOutput();
            FakePeer.awaitNext(server.closedConnections);
        }
    }

    @Test
    void idleConnectionIsClosedBeforeTheServerClosesIt() throws Exception {
        RecordingHandler handler = new RecordingHandler(10);
        start(openPool(server.address(), 100_000), handler);
        assertEquals(AttemptResult.OK, handler.awaitReport().result());
        // The server does not close connections, so this one was closed by the pool.
        FakePeer.awaitNext(server.closedConnections);
    }

    @Test
    void attemptsGoToTheNewAddressOfAMovedServer() throws Exception {
        UpstreamConnectionPool pool = openPool(server.address(), IDLE_US);
        RecordingHandler firstHandler = new RecordingHandler(10);
        start(pool, firstHandler);
        assertEquals(AttemptResult.OK, firstHandler.awaitReport().result());
        try (FakePeer moved = new FakePeer(FakePeer.respondWith("200 OK", "", "moved"))) {
            updateEndpoint(pool, moved.address(), 0);
            FakePeer.awaitNext(server.closedConnections);
            RecordingHandler secondHandler = new RecordingHandler(10);
            start(pool, secondHandler);
            assertEquals(
                    "moved", new String(secondHandler.awaitReport().response().body(), StandardCharsets.UTF_8));
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"Terminating", "Gone"})
    void waitingAttemptIsNotSentToDrainingServer(String state) throws Exception {
        UpstreamConnectionPool pool = openPool(server.address(), IDLE_US);
        RecordingHandler waitingHandler = new RecordingHandler(10);
        EndpointList update = parseEndpoint(server.address(), state, 0);
        // Both run in one iteration of the event loop: the update arrives while the connection is being established.
        loop.submit(() -> {
                    pool.startAttempt("s", waitingHandler);
                    pool.update(update);
                })
                .get();
        assertEquals(AttemptResult.NOT_SENT, waitingHandler.awaitReport().result());
        updateEndpoint(pool, server.address(), 0);
        RecordingHandler nextHandler = new RecordingHandler(11);
        start(pool, nextHandler);
        assertEquals(AttemptResult.OK, nextHandler.awaitReport().result());
        assertEquals("11", FakePeer.findHeader(server.nextRequest(), "Content-Length"));
        assertTrue(server.requests.isEmpty(), "sent to a draining server");
    }

    @Test
    void connectionOutOfQuarantineIsPreferred() throws Exception {
        long quarantineMs = 1_000;
        BlockingQueue<Socket> usedConnections = new LinkedBlockingQueue<>();
        server.setScript((socket, request) -> usedConnections.add(socket));
        UpstreamConnectionPool pool = openPool(server.address(), IDLE_US, quarantineMs);
        RecordingHandler firstHandler = new RecordingHandler(1);
        RecordingHandler secondHandler = new RecordingHandler(2);
        start(pool, firstHandler);
        start(pool, secondHandler);
        Socket outOfQuarantine = FakePeer.awaitNext(usedConnections);
        Socket freshConnection = FakePeer.awaitNext(usedConnections);
        FakePeer.write(outOfQuarantine, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        FakePeer.awaitNext(awaitEither(firstHandler, secondHandler));
        loop.schedule(() -> {}, 2 * quarantineMs, TimeUnit.MILLISECONDS).get();
        FakePeer.write(freshConnection, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        FakePeer.awaitNext(awaitEither(firstHandler, secondHandler));
        RecordingHandler thirdHandler = new RecordingHandler(3);
        start(pool, thirdHandler);
        assertSame(outOfQuarantine, FakePeer.awaitNext(usedConnections));
    }
}
