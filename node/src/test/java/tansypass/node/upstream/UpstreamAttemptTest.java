package tansypass.node.upstream;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import tansypass.balancer.AttemptResult;
import tansypass.node.FakePeer;
import tansypass.node.Fixture;

/** The result that an attempt ends with, for each kind of response, failure and abort. */
@Timeout(120)
class UpstreamAttemptTest extends UpstreamTestBase {
    @Test
    void completeOkResponseIsReportedUnchanged() throws Exception {
        Report report = runAttempt(FakePeer.respondWith("200 OK", "Content-Type: text/x\r\n", "h\u00e9llo"));
        assertEquals(AttemptResult.OK, report.result());
        assertArrayEquals(
                "h\u00e9llo".getBytes(StandardCharsets.ISO_8859_1),
                report.response().body());
        assertEquals("text/x", report.response().contentType());
        assertResult(
                AttemptResult.OK,
                FakePeer.respondRaw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + "2\r\nab\r\n0\r\n\r\n"));
        assertResult(
                AttemptResult.OK,
                FakePeer.respondRaw(
                        "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n" + "Content-Length: 0\r\n\r\n"));
    }

    @Test
    void errorStatusIsErrorAndRejectionIsOverloaded() throws Exception {
        assertResult(AttemptResult.ERROR, FakePeer.respondWith("500 No", "", ""));
        assertResult(AttemptResult.ERROR, FakePeer.respondWith("503 No", "", ""));
        assertResult(AttemptResult.ERROR, FakePeer.respondWith("500 No", "X-Turned-Away: 1\r\n", ""));
        assertResult(AttemptResult.OVERLOADED, FakePeer.respondWith("503 No", "X-Turned-Away: 1\r\n", ""));
        assertResult(AttemptResult.OVERLOADED, FakePeer.respondWith("504 No", "X-Turned-Away: 1\r\n", ""));
    }

    @Test
    void failureAfterTheRequestWasWrittenIsReset() throws Exception {
        assertResult(AttemptResult.RESET, FakePeer.RESET);
        assertResult(AttemptResult.RESET, FakePeer.CLOSE);
        assertResult(AttemptResult.RESET, (socket, request) -> {
            FakePeer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
            socket.close();
        });
        assertResult(AttemptResult.RESET, (socket, request) -> {
            // A response without a length is incomplete when the connection closes, as far as the node can tell.
            FakePeer.write(socket, "HTTP/1.1 200 OK\r\n\r\nmaybe half");
            socket.close();
        });
        assertResult(AttemptResult.RESET, FakePeer.respondRaw("NOT HTTP\r\n\r\n"));
    }

    /** The connection ends in the iteration of the event loop that reads the partial response, or in a later one. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void truncatedResponseIsReset(boolean sameIteration) throws Exception {
        String ok = "HTTP/1.1 200 OK\r\n";
        for (FakePeer.Script end : List.of(FakePeer.RESET, FakePeer.CLOSE)) {
            for (String part : List.of(
                    "HTTP/1.",
                    ok + "Content-Le",
                    ok + "Content-Length: 10\r\n\r\n",
                    ok + "Content-Length: 10\r\n\r\nhalf",
                    ok + "Transfer-Encoding: chunked\r\n\r\n",
                    ok + "Transfer-Encoding: chunked\r\n\r\n1",
                    ok + "Transfer-Encoding: chunked\r\n\r\n9\r\nhalf",
                    ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
                    ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n",
                    ok + "\r\nhalf",
                    "HTTP/1.0 200 OK\r\n\r\nhalf",
                    ok + "Connection: close\r\n\r\nhalf",
                    ok + "Connection: close\r\n\r\n")) {
                if (end == FakePeer.CLOSE && part.matches("(?s)HTTP/1.0 .*|.*: close\r\n\r\n.*")) {
                    // These responses are delimited by the close of the connection.
                    continue;
                }
                assertResult(
                        AttemptResult.RESET,
                        (socket, request) -> {
                            CountDownLatch release =
                                    sameIteration ? Fixture.blockEventLoop(loop) : new CountDownLatch(1);
                            FakePeer.write(socket, part);
                            if (!sameIteration) {
                                loop.submit(() -> {}).syncUninterruptibly();
                            }
                            end.run(socket, request);
                            release.countDown();
                        },
                        part);
            }
        }
    }

    @Test
    void malformedResponseHeadIsReset() throws Exception {
        String end = "Content-Length: 5\r\n\r\nhello";
        for (String head : List.of(
                "HTTP/1.1 200 OK\r\nno colon here\r\n",
                "HTTP/1.1 200 OK\r\nnocolon\r\n",
                "HTTP/1.1 200 OK\r\nX-Spaced : 1\r\n",
                "HTTP/1.1 200 OK\r\n: no name\r\n",
                "HTTP/1.1 200 OK\r\n folded: first\r\n",
                "HTTP/1.1 +200 OK\r\n",
                "HTTP/1.1 00200 OK\r\n",
                "HTTP/2.0 200 OK\r\n",
                "HTTP/1.1 2x0 OK\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n",
                "HTTP/1.1 101 On\r\n\r\nHTTP/1.1 200 OK\r\n")) {
            assertResult(AttemptResult.RESET, FakePeer.respondRaw(head + end), head);
        }
    }

    @Test
    void refusedConnectionIsConnectFailed() throws Exception {
        int port;
        try (ServerSocket unused = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = unused.getLocalPort();
        }
        RecordingHandler handler = new RecordingHandler(10);
        start(openPool("127.0.0.1:" + port, IDLE_US), handler);
        assertEquals(AttemptResult.CONNECT_FAILED, handler.awaitReport().result());
    }

    @Test
    void connectTimeoutIsConnectFailed() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            // Linux drops SYN packets while the accept queue is full.
            List<Socket> queuedSockets = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                Socket socket = new Socket();
                queuedSockets.add(socket);
                try {
                    socket.connect(listener.getLocalSocketAddress(), 200);
                } catch (java.net.SocketTimeoutException e) {
                    break;
                }
            }
            RecordingHandler handler = new RecordingHandler(10);
            start(openPool("127.0.0.1:" + listener.getLocalPort(), IDLE_US), handler);
            assertEquals(AttemptResult.CONNECT_FAILED, handler.awaitReport().result());
            for (Socket socket : queuedSockets) {
                socket.close();
            }
        }
    }

    @Test
    void failureBeforeTheRequestWasWrittenIsConnectFailed() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            RecordingHandler handler = new RecordingHandler(64 << 20);
            start(openPool("127.0.0.1:" + listener.getLocalPort(), IDLE_US), handler);
            Socket acceptedSocket = listener.accept();
            acceptedSocket.getInputStream().read();
            acceptedSocket.setSoLinger(true, 0);
            acceptedSocket.close();
            assertEquals(AttemptResult.CONNECT_FAILED, handler.awaitReport().result());
        }
    }

    /** A client that leaves while its request is written says nothing about the server, unlike a server that stalls. */
    @ParameterizedTest
    @CsvSource({"CANCELLED, NOT_SENT", "TIMEOUT, CONNECT_FAILED"})
    void abortBeforeTheRequestWasWrittenNeverCountsAsExecuted(AttemptResult reason, AttemptResult expected)
            throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            RecordingHandler handler = new RecordingHandler(64 << 20);
            UpstreamAttempt attempt = start(openPool("127.0.0.1:" + listener.getLocalPort(), IDLE_US), handler);
            try (Socket acceptedSocket = listener.accept()) {
                acceptedSocket.getInputStream().read();
                loop.submit(() -> attempt.abort(reason)).get();
                assertEquals(expected, handler.awaitReport().result());
            }
        }
    }

    /** The load balancer relies on the connect timeout to start retries only within their deduplication windows. */
    @ParameterizedTest
    @ValueSource(ints = {200, 400})
    void attemptWaitsForConnectionNoLongerThanConnectTimeout(int connectTimeoutMs) throws Exception {
        List<Socket> queuedSockets = new ArrayList<>();
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            queuedSockets.addAll(Fixture.fillAcceptQueue(listener));
            UpstreamConnectionPool pool =
                    openPool("127.0.0.1:" + listener.getLocalPort(), 1_000L * connectTimeoutMs, IDLE_US, 0);
            RecordingHandler waitingHandler = new RecordingHandler(10);
            RecordingHandler cancelledHandler = new RecordingHandler(10);
            // The event loop measures the time, because its timers fire in order.
            CompletableFuture<Boolean> inTime = new CompletableFuture<>();
            loop.submit(() -> {
                        loop.schedule(
                                () -> pool.startAttempt("s", cancelledHandler).abort(AttemptResult.CANCELLED),
                                connectTimeoutMs / 2,
                                TimeUnit.MILLISECONDS);
                        loop.schedule(
                                () -> inTime.complete(!waitingHandler.reports.isEmpty()),
                                connectTimeoutMs * 5 / 4,
                                TimeUnit.MILLISECONDS);
                        pool.startAttempt("s", waitingHandler);
                    })
                    .get();
            assertTrue(inTime.get(), "waits for the connection of a cancelled attempt");
            assertEquals(
                    AttemptResult.CONNECT_FAILED, waitingHandler.awaitReport().result());
            assertEquals(AttemptResult.NOT_SENT, cancelledHandler.awaitReport().result());
        }
        for (Socket socket : queuedSockets) {
            socket.close();
        }
    }

    @Test
    void abortedAttemptClosesItsConnection() throws Exception {
        server.setScript(FakePeer.SILENT);
        RecordingHandler handler = new RecordingHandler(10);
        UpstreamAttempt attempt = start(openPool(server.address(), IDLE_US), handler);
        server.nextRequest();
        loop.submit(() -> attempt.abort(AttemptResult.TIMEOUT)).get();
        assertEquals(AttemptResult.TIMEOUT, handler.awaitReport().result());
        FakePeer.awaitNext(server.closedConnections);
    }

    @Test
    void attemptAbortedBeforeConnectCompletesIsNotSent() throws Exception {
        UpstreamConnectionPool pool = openPool(server.address(), IDLE_US);
        RecordingHandler handler = new RecordingHandler(10);
        loop.submit(() -> pool.startAttempt("s", handler).abort(AttemptResult.CANCELLED))
                .get();
        assertEquals(AttemptResult.NOT_SENT, handler.awaitReport().result());
        // Once established, the connection carries the next attempt, whose request is the only one sent.
        FakePeer.awaitNext(server.accepted);
        RecordingHandler nextHandler = new RecordingHandler(11);
        start(pool, nextHandler);
        assertEquals(AttemptResult.OK, nextHandler.awaitReport().result());
        assertEquals("11", FakePeer.findHeader(server.nextRequest(), "Content-Length"));
        assertTrue(server.requests.isEmpty());
    }

    @Test
    void attemptAbortedAsConnectCompletesIsReportedOnce() throws Exception {
        server.setScript(FakePeer.SILENT);
        UpstreamConnectionPool pool = openPool(server.address(), IDLE_US);
        for (boolean connectFirst : new boolean[] {true, false}) {
            RecordingHandler handler = new RecordingHandler(10);
            CountDownLatch release = new CountDownLatch(1);
            loop.execute(() -> {
                UpstreamAttempt attempt = pool.startAttempt("s", handler);
                // Queued behind the connect, which is a task of the event loop too.
                loop.execute(() -> {
                    Fixture.awaitLatch(release);
                    Runnable abort = () -> attempt.abort(AttemptResult.TIMEOUT);
                    if (connectFirst) {
                        // The event loop polls its sockets before it runs timers.
                        loop.schedule(abort, 1, TimeUnit.NANOSECONDS);
                    } else {
                        loop.execute(abort);
                    }
                });
            });
            Socket connectedSocket = FakePeer.awaitNext(server.accepted);
            release.countDown();
            AttemptResult result = handler.awaitReport().result();
            if (result != AttemptResult.NOT_SENT) {
                assertSame(connectedSocket, FakePeer.awaitNext(server.closedConnections));
            }
            loop.submit(() -> {}).get();
            assertTrue(handler.reports.isEmpty(), "reported twice");
            assertEquals(result == AttemptResult.NOT_SENT ? 0 : 1, server.requests.size(), result.toString());
            server.requests.clear();
        }
    }

    @Test
    void rejectionOrErrorWithAnIncompleteBodyIsReported() throws Exception {
        for (String framing : List.of(
                "Content-Length: 10\r\n\r\nhalf", "Transfer-Encoding: chunked\r\n\r\n", "Connection: close\r\n\r\n")) {
            assertResult(
                    AttemptResult.OVERLOADED,
                    FakePeer.respondRaw("HTTP/1.1 503 No\r\nX-Turned-Away: 1\r\n" + framing),
                    framing);
            assertResult(AttemptResult.ERROR, FakePeer.respondRaw("HTTP/1.1 500 No\r\n" + framing), framing);
        }
    }
}
