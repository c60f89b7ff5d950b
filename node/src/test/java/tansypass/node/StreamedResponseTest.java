package tansypass.node;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.io.EOFException;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import tansypass.balancer.AttemptResult;
import tansypass.node.endpoint.EndpointList;
import tansypass.node.http.ResponseBodySink;
import tansypass.node.http.UpstreamResponse;
import tansypass.node.lifecycle.DescriptorLimiter;
import tansypass.node.upstream.AttemptHandler;
import tansypass.node.upstream.UpstreamConnectionPool;
import tansypass.platform.EndpointListJsonReader;

/** Responses that are forwarded while they are received. */
@Timeout(120)
class StreamedResponseTest extends RunningNodeTestBase {
    private static final int LENGTH = HttpStreams.LENGTH;
    /** The time for which a client may accept nothing of a response. */
    private static final int CLIENT_STALL_TIMEOUT_S = 10;

    private static final byte[] BODY = HttpStreams.body();

    private Socket client;

    @BeforeEach
    void startNode() throws Exception {
        server.setScript(FakePeer.SILENT);
        node = new RunningNode(Fixture.createConfig(discovery.peer, server));
        client = node.connect();
    }

    /** Sends a request and the head of its response, and returns the server's connection for sending the body. */
    private Socket startResponse(String request, String head) throws Exception {
        FakePeer.write(client, request);
        server.nextRequest();
        Socket attemptSocket = FakePeer.awaitNext(server.accepted);
        FakePeer.write(attemptSocket, head);
        return attemptSocket;
    }

    private static String get(long id) {
        return Fixture.formatRequest("GET", "/view", id, "", "");
    }

    @Test
    void forwardsFirstBytesBeforeResponseIsComplete() throws Exception {
        Socket attemptSocket = startResponse(
                get(1), "HTTP/1.1 200 OK\r\nContent-Type: image/x\r\nContent-Length: " + LENGTH + "\r\n\r\n");
        HttpStreams.write(attemptSocket, 0, 1_000);
        String head = HttpStreams.readHead(client);
        assertTrue(head.startsWith("HTTP/1.1 200"), head);
        assertEquals(Integer.toString(LENGTH), FakePeer.findHeader(head, "Content-Length"));
        assertEquals("image/x", FakePeer.findHeader(head, "Content-Type"));
        byte[] received = new byte[LENGTH];
        assertEquals(1_000, client.getInputStream().readNBytes(received, 0, 1_000));
        node.awaitMetric("in_flight", 1);
        HttpStreams.write(attemptSocket, 1_000, LENGTH);
        assertEquals(LENGTH - 1_000, client.getInputStream().readNBytes(received, 1_000, LENGTH - 1_000));
        assertArrayEquals(BODY, received);
        node.awaitMetric("requests.view.served", 1);
        node.awaitMetric("in_flight", 0);
        // The client's connection stays usable.
        server.setScript(FakePeer.respondWith("200 OK", "", "ok"));
        FakePeer.write(client, get(2));
        assertTrue(FakePeer.readMessage(client).endsWith("\r\n\r\nok"));
    }

    @Test
    void forwardsChunksWithTrailersReceivedByteByByte() throws Exception {
        Socket attemptSocket = startResponse(
                get(1), "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + "Transfer-Encoding: chunked\r\n\r\n");
        attemptSocket.setTcpNoDelay(true);
        for (String piece : "3;ext=1\r\nabc\r\n".split("")) {
            FakePeer.write(attemptSocket, piece);
        }
        // A response that is incomplete after 50 ms is streamed: its head arrives before it is complete.
        assertEquals("chunked", FakePeer.findHeader(HttpStreams.readHead(client), "Transfer-Encoding"));
        FakePeer.write(attemptSocket, Integer.toHexString(LENGTH) + "\r\n");
        HttpStreams.write(attemptSocket, 0, LENGTH);
        FakePeer.write(attemptSocket, "\r\n0\r\nX-Sum: 1\r\n\r\n");
        byte[] received = HttpStreams.readChunkedBody(client);
        assertEquals("abc", new String(received, 0, 3, StandardCharsets.US_ASCII));
        assertEquals(LENGTH + 3, received.length);
        node.awaitMetric("requests.view.served", 1);
    }

    @Test
    void forwardsResponseDelimitedByConnectionClose() throws Exception {
        Socket attemptSocket = startResponse(get(1), "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
        HttpStreams.write(attemptSocket, 0, LENGTH);
        attemptSocket.close();
        assertEquals("chunked", FakePeer.findHeader(HttpStreams.readHead(client), "Transfer-Encoding"));
        assertArrayEquals(BODY, HttpStreams.readChunkedBody(client));
        // An HTTP/1.0 client gets no chunks: the close of its connection ends the response.
        FakePeer.write(client, get(2).replace("HTTP/1.1", "HTTP/1.0"));
        server.nextRequest();
        Socket secondAttemptSocket = FakePeer.awaitNext(server.accepted);
        FakePeer.write(secondAttemptSocket, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
        HttpStreams.write(secondAttemptSocket, 0, LENGTH);
        secondAttemptSocket.close();
        String head = HttpStreams.readHead(client);
        assertEquals("close", FakePeer.findHeader(head, "Connection"));
        assertNull(FakePeer.findHeader(head, "Transfer-Encoding"));
        assertArrayEquals(BODY, client.getInputStream().readAllBytes());
    }

    @Test
    void truncatedResponseIsVisibleToClientAndCountedAsFailed() throws Exception {
        for (String framing : new String[] {
            "Content-Length: " + LENGTH + "\r\n\r\n",
            "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(LENGTH) + "\r\n",
            "Connection: close\r\n\r\n"
        }) {
            Socket attemptSocket = startResponse(get(framing.length()), "HTTP/1.1 200 OK\r\n" + framing);
            HttpStreams.write(attemptSocket, 0, 100_000);
            String head = HttpStreams.readHead(client);
            FakePeer.RESET.run(attemptSocket, "");
            assertThrows(IOException.class, () -> {
                if (FakePeer.findHeader(head, "Transfer-Encoding") != null) {
                    HttpStreams.readChunkedBody(client);
                } else if (client.getInputStream().readNBytes(LENGTH).length < LENGTH) {
                    throw new EOFException();
                }
            });
            int port = client.getPort();
            client.close();
            client = new Socket("127.0.0.1", port);
        }
        node.awaitMetric("requests.view.failed", 3);
        assertTrue(server.requests.isEmpty(), "retried after the client had received a part of the response");
    }

    @Test
    void abortsShortResponseAtItsDeadlineButNotLongOne() throws Exception {
        String requestWithShortDeadline = get(1).replace("Remaining-Ms: " + Fixture.REMAINING_MS, "Remaining-Ms: 500");
        Socket attemptSocket = startResponse(
                requestWithShortDeadline, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
        HttpStreams.readHead(client);
        assertThrows(IOException.class, () -> HttpStreams.readChunkedBody(client));
        node.awaitMetric("requests.view.failed", 1);
        node.awaitMetric("in_flight", 0);
        assertEquals(attemptSocket, FakePeer.awaitNext(server.closedConnections));
        int port = client.getPort();
        client = Fixture.connect(port);
        Socket longAttemptSocket = startResponse(
                requestWithShortDeadline.replace("0001\r", "0002\r"),
                "HTTP/1.1 200 OK\r\nContent-Length: " + LENGTH + "\r\n\r\n");
        HttpStreams.write(longAttemptSocket, 0, 100_000);
        HttpStreams.readHead(client);
        // The third request has the same timeout. When it has failed, the second request's deadline has passed.
        try (Socket other = new Socket("127.0.0.1", port)) {
            FakePeer.write(other, requestWithShortDeadline.replace("0001\r", "0003\r"));
            assertTrue(!FakePeer.readMessage(other).startsWith("HTTP/1.1 200"));
        }
        HttpStreams.write(longAttemptSocket, 100_000, LENGTH);
        assertArrayEquals(BODY, client.getInputStream().readNBytes(LENGTH));
        node.awaitMetric("requests.view.served", 1);
    }

    @Test
    void continuesSteadyResponsePastItsDeadline() throws Exception {
        Socket attemptSocket = startResponse(
                get(1).replace("Remaining-Ms: " + Fixture.REMAINING_MS, "Remaining-Ms: 300"),
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n");
        HttpStreams.readHead(client);
        long untilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(1_200);
        assertEquals(6, client.getInputStream().readNBytes(6).length);
        String chunk = "400\r\n" + "a".repeat(1_024) + "\r\n";
        for (int sentChunks = 0; System.nanoTime() < untilNs && sentChunks < 62; sentChunks++) {
            FakePeer.write(attemptSocket, chunk);
            assertEquals(
                    chunk.length(),
                    client.getInputStream().readNBytes(chunk.length()).length,
                    "truncated after chunk " + sentChunks);
            assertNull(server.closedConnections.poll(20, TimeUnit.MILLISECONDS));
        }
        FakePeer.write(attemptSocket, "0\r\n\r\n");
        assertEquals(0, HttpStreams.readChunkedBody(client).length);
        node.awaitMetric("requests.view.served", 1);
    }

    @ParameterizedTest
    @ValueSource(strings = {"Transfer-Encoding: chunked", "Connection: close", "Content-Length: 9000000"})
    void abortsTricklingResponseSoonAfterItsDeadline(String framing) throws Exception {
        long startNs = System.nanoTime();
        Socket attemptSocket = startResponse(
                get(1).replace("Remaining-Ms: " + Fixture.REMAINING_MS, "Remaining-Ms: 300"),
                "HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n1\r\na\r\n");
        HttpStreams.readHead(client);
        long timeoutNs = startNs + TimeUnit.SECONDS.toNanos(FakePeer.AWAIT_TIMEOUT_S);
        while (server.closedConnections.poll(20, TimeUnit.MILLISECONDS) == null && System.nanoTime() < timeoutNs) {
            try {
                FakePeer.write(attemptSocket, "1\r\na\r\n");
            } catch (IOException e) {
                // This thread sees the close of the connection before the reading thread of the fake server reports it.
            }
        }
        assertTrue(System.nanoTime() < timeoutNs, "the response was not aborted");
        assertThrows(IOException.class, () -> client.getInputStream().readAllBytes());
        node.awaitMetric("requests.view.failed", 1);
        node.awaitMetric("in_flight", 0);
    }

    @Test
    void abortsEndlessResponseWhateverItsRate() throws Exception {
        Socket attemptSocket = startResponse(
                get(1).replace("Remaining-Ms: " + Fixture.REMAINING_MS, "Remaining-Ms: 300"),
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        Thread sender = new Thread(() -> {
            String chunk = "10000\r\n" + "a".repeat(1 << 16) + "\r\n";
            try {
                while (true) {
                    FakePeer.write(attemptSocket, chunk);
                }
            } catch (IOException e) {
                // The node has closed the connection.
                return;
            }
        });
        sender.start();
        byte[] read = new byte[1 << 16];
        assertThrows(IOException.class, () -> {
            while (client.getInputStream().read(read) >= 0) {
                // Discard.
            }
        });
        sender.join();
        node.awaitMetric("requests.view.failed", 1);
    }

    @Test
    void rejectsResponseWithContentLengthAndTransferEncoding() throws Exception {
        server.setScript(FakePeer.respondRaw("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n"
                + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"));
        FakePeer.write(client, Fixture.formatRequest("POST", "/order", 1, "", ""));
        assertTrue(FakePeer.readMessage(client).startsWith("HTTP/1.1 502"));
    }

    @Test
    void abortsAttemptWhenClientDisconnects() throws Exception {
        Socket attemptSocket = startResponse(get(1), "HTTP/1.1 200 OK\r\nContent-Length: " + LENGTH + "\r\n\r\n");
        HttpStreams.write(attemptSocket, 0, 100_000);
        HttpStreams.readHead(client);
        client.close();
        assertEquals(attemptSocket, FakePeer.awaitNext(server.closedConnections));
        node.awaitMetric("in_flight", 0);
        assertTrue(server.requests.isEmpty(), "retried after the client had disconnected");
    }

    /** A sink that is not writable until the test sets {@code writable}. */
    private static final class PausingSink implements ResponseBodySink, AttemptHandler {
        final CountDownLatch started = new CountDownLatch(1);
        final CountDownLatch finished = new CountDownLatch(1);
        private volatile Runnable whenWritable;
        private volatile boolean writable;
        private volatile boolean accepting;
        /** A permit for each time the sink was asked whether it has accepted anything. */
        private final Semaphore progressChecks = new Semaphore(0);

        private final CountDownLatch ended = new CountDownLatch(1);
        private final AtomicLong receivedBytes = new AtomicLong();

        @Override
        public HttpRequest createMessage() {
            return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/x");
        }

        @Override
        public ResponseBodySink onResponseStarted(String contentType, long length, Runnable resume) {
            whenWritable = resume;
            return this;
        }

        @Override
        public void write(ByteBuf part) {
            receivedBytes.addAndGet(part.readableBytes());
            part.release();
            started.countDown();
        }

        @Override
        public void flush() {}

        @Override
        public boolean isWritable() {
            return writable;
        }

        @Override
        public boolean hasAdvanced() {
            progressChecks.release();
            return accepting;
        }

        @Override
        public void finish() {
            finished.countDown();
        }

        @Override
        public void onAttemptEnded(AttemptResult result, UpstreamResponse response) {
            ended.countDown();
        }
    }

    /** Starts a response that is longer than the sockets' buffers, and waits for its first bytes. */
    private PausingSink startLongResponse(int length) throws Exception {
        server.setScript((socket, request) -> {
            FakePeer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n");
            socket.getOutputStream().write(new byte[length]);
        });
        UpstreamConnectionPool pool = node.loop
                .submit(() -> new UpstreamConnectionPool(
                        node.loop,
                        new DescriptorLimiter(1_024),
                        Fixture.newBufferLimiters(),
                        300_000,
                        60_000_000,
                        UpstreamConnectionPool.QUARANTINE_MS))
                .get();
        EndpointList list = EndpointListJsonReader.read(Fixture.formatEndpointList(1, true, "Ready", server));
        node.loop.submit(() -> pool.update(list)).get();
        PausingSink sink = new PausingSink();
        node.loop.submit(() -> pool.startAttempt("s-" + server.port(), sink)).get();
        assertTrue(sink.started.await(FakePeer.AWAIT_TIMEOUT_S, TimeUnit.SECONDS));
        return sink;
    }

    @Test
    void stopsReadingFromServerWhileClientIsNotWritable() throws Exception {
        int length = 8 << 20;
        PausingSink sink = startLongResponse(length);
        for (int i = 0; i < 100; i++) {
            node.loop.submit(() -> {}).get();
        }
        assertTrue(sink.receivedBytes.get() <= 64 * 1024, "kept reading: " + sink.receivedBytes);
        assertFalse(sink.finished.await(0, TimeUnit.SECONDS));
        sink.writable = true;
        node.loop.execute(sink.whenWritable);
        assertTrue(sink.finished.await(FakePeer.AWAIT_TIMEOUT_S, TimeUnit.SECONDS), "reading was not resumed");
        assertEquals(length, sink.receivedBytes.get());
    }

    /** Guards against a response that is broken off after 10 s although its client accepts some of it every second. */
    @Test
    void waitsForClientThatAcceptsResponseSlowerThanItsConnectionBecomesWritable() throws Exception {
        int length = 8 << 20;
        PausingSink sink = startLongResponse(length);
        sink.accepting = true;
        assertTrue(sink.progressChecks.tryAcquire(CLIENT_STALL_TIMEOUT_S + 2, 30, TimeUnit.SECONDS));
        assertEquals(1, sink.ended.getCount(), "broken off");
        sink.accepting = false;
        assertTrue(sink.ended.await(CLIENT_STALL_TIMEOUT_S + 10, TimeUnit.SECONDS), "never broken off");
    }
}
