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
        BlockingQueue<Socket> used = new LinkedBlockingQueue<>();
        server.setScript((socket, request) -> used.add(socket));
        UpstreamConnectionPool pool = openPool(server.address(), IDLE_US);
        RecordingHandler first = new RecordingHandler(1);
        RecordingHandler second = new RecordingHandler(2);
        start(pool, first);
        start(pool, second);
        Socket usedFirst = FakePeer.awaitNext(used);
        Socket usedSecond = FakePeer.awaitNext(used);
        FakePeer.write(usedFirst, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        FakePeer.awaitNext(
                first.reports.isEmpty() && second.reports.isEmpty()
                        ? awaitEither(first, second)
                        : first.reports.isEmpty() ? second.reports : first.reports);
        FakePeer.write(usedSecond, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        FakePeer.awaitNext(awaitEither(first, second));
        RecordingHandler third = new RecordingHandler(3);
        start(pool, third);
        assertSame(usedSecond, FakePeer.awaitNext(used));
    }

    @Test
    void connectionInQuarantineIsNotReusedEvenAfterItsFirstResponse() throws Exception {
        UpstreamConnectionPool pool = openPool(server.address(), IDLE_US, TimeUnit.MINUTES.toMillis(10));
        RecordingHandler first = new RecordingHandler(10);
        start(pool, first);
        assertEquals(AttemptResult.OK, first.awaitReport().result());
        Socket used = FakePeer.awaitNext(server.accepted);
        RecordingHandler second = new RecordingHandler(10);
        start(pool, second);
        RecordingHandler aborted = new RecordingHandler(10);
        loop.submit(() -> pool.startAttempt("s", aborted).abort(AttemptResult.TIMEOUT))
                .get();
        assertEquals(AttemptResult.NOT_SENT, aborted.awaitReport().result());
        FakePeer.write(used, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong");
        assertEquals("hello", new String(second.awaitReport().response().body(), StandardCharsets.UTF_8));
        assertSame(used, FakePeer.awaitNext(server.closedConnections));
        assertEquals(2, server.requests.size());
    }

    @Test
    void waitingAttemptUsesAConnectionThatLeavesQuarantine() throws Exception {
        List<Socket> queued = new ArrayList<>();
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            UpstreamConnectionPool pool = openPool("127.0.0.1:" + listener.getLocalPort(), IDLE_US, 20);
            RecordingHandler first = new RecordingHandler(10);
            start(pool, first);
            Socket used = listener.accept();
            FakePeer.readMessage(used);
            // From now on no further connection can be established.
            queued.addAll(Fixture.fillAcceptQueue(listener));
            FakePeer.write(used, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            assertEquals(AttemptResult.OK, first.awaitReport().result());
            RecordingHandler second = new RecordingHandler(10);
            start(pool, second);
            assertTrue(FakePeer.readMessage(used) != null, "not sent on the idle connection");
            FakePeer.write(used, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            assertEquals(AttemptResult.OK, second.awaitReport().result());
        }
        for (Socket socket : queued) {
            socket.close();
        }
    }

    private static BlockingQueue<Report> awaitEither(RecordingHandler a, RecordingHandler b)
            throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(FakePeer.AWAIT_TIMEOUT_S);
        while (a.reports.isEmpty() && b.reports.isEmpty() && System.nanoTime() < until) {
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
            RecordingHandler first = new RecordingHandler(10);
            start(pool, first);
            assertEquals(AttemptResult.OK, first.awaitReport().result());
            Socket idle = FakePeer.awaitNext(server.accepted);
            if (unsolicited == null) {
                // Closes one direction only. The pool closes the other one when it has noticed this.
                idle.shutdownOutput();
            } else {
                FakePeer.write(idle, unsolicited);
            }
            assertSame(idle, FakePeer.awaitNext(server.closedConnections));
            RecordingHandler second = new RecordingHandler(10);
            start(pool, second);
            assertEquals("hello", new String(second.awaitReport().response().body(), StandardCharsets.UTF_8));
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
        RecordingHandler first = new RecordingHandler(10);
        start(pool, first);
        assertEquals(AttemptResult.OK, first.awaitReport().result());
        try (FakePeer moved = new FakePeer(FakePeer.respondWith("200 OK", "", "moved"))) {
            updateEndpoint(pool, moved.address(), 0);
            FakePeer.awaitNext(server.closedConnections);
            RecordingHandler second = new RecordingHandler(10);
            start(pool, second);
            assertEquals("moved", new String(second.awaitReport().response().body(), StandardCharsets.UTF_8));
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"Terminating", "Gone"})
    void waitingAttemptIsNotSentToDrainingServer(String state) throws Exception {
        UpstreamConnectionPool pool = openPool(server.address(), IDLE_US);
        RecordingHandler waiting = new RecordingHandler(10);
        EndpointList update = parseEndpoint(server.address(), state, 0);
        // Both run in one iteration of the event loop: the update arrives while the connection is being established.
        loop.submit(() -> {
                    pool.startAttempt("s", waiting);
                    pool.update(update);
                })
                .get();
        assertEquals(AttemptResult.NOT_SENT, waiting.awaitReport().result());
        updateEndpoint(pool, server.address(), 0);
        RecordingHandler next = new RecordingHandler(11);
        start(pool, next);
        assertEquals(AttemptResult.OK, next.awaitReport().result());
        assertEquals("11", FakePeer.findHeader(server.nextRequest(), "Content-Length"));
        assertTrue(server.requests.isEmpty(), "sent to a draining server");
    }

    @Test
    void connectionOutOfQuarantineIsPreferred() throws Exception {
        long quarantineMs = 1_000;
        BlockingQueue<Socket> used = new LinkedBlockingQueue<>();
        server.setScript((socket, request) -> used.add(socket));
        UpstreamConnectionPool pool = openPool(server.address(), IDLE_US, quarantineMs);
        RecordingHandler first = new RecordingHandler(1);
        RecordingHandler second = new RecordingHandler(2);
        start(pool, first);
        start(pool, second);
        Socket outOfQuarantine = FakePeer.awaitNext(used);
        Socket fresh = FakePeer.awaitNext(used);
        FakePeer.write(outOfQuarantine, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        FakePeer.awaitNext(awaitEither(first, second));
        loop.schedule(() -> {}, 2 * quarantineMs, TimeUnit.MILLISECONDS).get();
        FakePeer.write(fresh, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        FakePeer.awaitNext(awaitEither(first, second));
        RecordingHandler third = new RecordingHandler(3);
        start(pool, third);
        assertSame(outOfQuarantine, FakePeer.awaitNext(used));
    }
}
