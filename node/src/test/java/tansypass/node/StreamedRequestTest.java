package tansypass.node;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tansypass.node.upstream.UpstreamConnectionPool;

/** Requests that are forwarded while they are received. The test itself accepts and reads the node's connections. */
@Timeout(120)
class StreamedRequestTest extends RunningNodeTestBase {
    private static final int LENGTH = HttpStreams.LENGTH;
    /** More than the sockets' buffers hold between a client and the web server. */
    private static final int LONG_BYTES = 32 << 20;
    /** At this rate a third of a socket's largest send buffer lasts longer than the timeout of a web server. */
    private static final int SLOW_READ_BYTES = 64 * 1024;

    private static final int SLOW_READ_INTERVAL_MS = 250;
    private static final byte[] BODY = HttpStreams.body();
    private static final String RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";

    private ServerSocket listener;
    private Socket client;

    @BeforeEach
    void openListener() throws Exception {
        listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        listener.setSoTimeout((int) TimeUnit.SECONDS.toMillis(FakePeer.AWAIT_TIMEOUT_S));
    }

    /** Starts a node whose endpoint list has this number of servers, all at the address of the test's listener. */
    private void startNode(int serverCount) throws Exception {
        JsonObject config = Fixture.createConfig(discovery.peer);
        StringBuilder targets = new StringBuilder();
        for (int i = 0; i < serverCount; i++) {
            targets.append(i == 0 ? "" : ",")
                    .append("{\"uid\":\"s-")
                    .append(i)
                    .append("\",\"endpoint\":\"127.0.0.1:")
                    .append(listener.getLocalPort())
                    .append("\",\"az\":\"a\",\"state\":\"Ready\"}");
        }
        config.add("known", JsonParser.parseString("{\"rev\":41,\"all\":true,\"targets\":[" + targets + "]}"));
        node = new RunningNode(config);
        client = node.connect();
        client.setTcpNoDelay(true);
    }

    @AfterEach
    void closeListener() throws IOException {
        listener.close();
    }

    private Socket accept() throws IOException {
        Socket socket = listener.accept();
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(FakePeer.AWAIT_TIMEOUT_S));
        return socket;
    }

    private static String formatHead(long id, int length) {
        return Fixture.formatRequest("POST", "/order", id, "", "")
                .replace("Content-Length: 0", "Content-Length: " + length);
    }

    private static String formatChunkedHead(long id) {
        return Fixture.formatRequest("POST", "/order", id, "Transfer-Encoding: chunked\r\n", "")
                .replace("Content-Length: 0\r\n", "");
    }

    /** Sends the head and first bytes of a request; returns the node's connection, with the head already read. */
    private Socket startUpload(int length, int sentBytes) throws IOException {
        FakePeer.write(client, formatHead(1, length));
        HttpStreams.write(client, 0, sentBytes);
        Socket attemptSocket = accept();
        HttpStreams.readHead(attemptSocket);
        return attemptSocket;
    }

    /** Guards against an upload that is broken off after 2.5 s although its web server reads some of it steadily. */
    @Test
    void waitsForServerThatReadsRequestSlowerThanItsConnectionBecomesWritable() throws Exception {
        startNode(1);
        FakePeer.write(client, formatHead(1, LONG_BYTES));
        Thread sender = new Thread(() -> {
            try {
                client.getOutputStream().write(new byte[LONG_BYTES]);
            } catch (IOException e) {
                // The node has broken off the upload, which the test sees at the server.
                return;
            }
        });
        sender.start();
        Socket attemptSocket = accept();
        HttpStreams.readHead(attemptSocket);
        int readBytes = 0;
        long slowUntilNs =
                System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(2 * UpstreamConnectionPool.STALL_TIMEOUT_MS);
        while (System.nanoTime() < slowUntilNs) {
            readBytes += attemptSocket.getInputStream().readNBytes(SLOW_READ_BYTES).length;
            sender.join(SLOW_READ_INTERVAL_MS);
            assertTrue(sender.isAlive(), "broken off, or read too fast");
        }
        assertEquals(0, node.readMetric("aborted.web_server_stalled"));
        assertEquals(LONG_BYTES - readBytes, attemptSocket.getInputStream().readNBytes(LONG_BYTES - readBytes).length);
        sender.join();
        FakePeer.write(attemptSocket, RESPONSE);
        assertTrue(FakePeer.readMessage(client).endsWith("done"));
    }

    @Test
    void forwardsFirstBytesBeforeRequestIsComplete() throws Exception {
        startNode(1);
        FakePeer.write(client, formatHead(1, LENGTH));
        HttpStreams.write(client, 0, 100_000);
        Socket attemptSocket = accept();
        String head = HttpStreams.readHead(attemptSocket);
        assertTrue(head.startsWith("POST /order HTTP/1.1\r\n"), head);
        assertEquals(Integer.toString(LENGTH), FakePeer.findHeader(head, "Content-Length"));
        byte[] forwarded = new byte[LENGTH];
        assertEquals(100_000, attemptSocket.getInputStream().readNBytes(forwarded, 0, 100_000));
        assertEquals(0, node.readMetric("in_flight"), "admitted before its last byte");
        HttpStreams.write(client, 100_000, LENGTH);
        assertEquals(LENGTH - 100_000, attemptSocket.getInputStream().readNBytes(forwarded, 100_000, LENGTH - 100_000));
        assertArrayEquals(BODY, forwarded);
        FakePeer.write(attemptSocket, RESPONSE);
        assertTrue(FakePeer.readMessage(client).endsWith("done"));
        // The connections are reused, by both short and long requests.
        respondToAll(attemptSocket);
        Thread acceptor = new Thread(() -> {
            try {
                while (true) {
                    respondToAll(listener.accept());
                }
            } catch (IOException e) {
                // The test has ended.
                return;
            }
        });
        acceptor.setDaemon(true);
        acceptor.start();
        for (int i = 2; i < 5; i++) {
            FakePeer.write(client, formatHead(i, i == 3 ? 10 : LENGTH));
            HttpStreams.write(client, 0, i == 3 ? 10 : LENGTH);
            assertTrue(FakePeer.readMessage(client).endsWith("done"));
        }
    }

    /** Responds to all further requests on a connection, on a new thread. */
    private static void respondToAll(Socket connection) {
        Thread thread = new Thread(() -> {
            try {
                while (FakePeer.readMessage(connection) != null) {
                    FakePeer.write(connection, RESPONSE);
                }
            } catch (IOException e) {
                // The test has ended.
                return;
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    @Test
    void forwardsChunksWithTrailersReceivedByteByByte() throws Exception {
        startNode(1);
        String text = formatChunkedHead(1) + "3;ext=1\r\nabc\r\n";
        for (int i = 0; i < text.length(); i++) {
            FakePeer.write(client, text.substring(i, i + 1));
        }
        FakePeer.write(client, Integer.toHexString(LENGTH) + "\r\n");
        HttpStreams.write(client, 0, LENGTH);
        Socket attemptSocket = accept();
        assertEquals("chunked", FakePeer.findHeader(HttpStreams.readHead(attemptSocket), "Transfer-Encoding"));
        FakePeer.write(client, "\r\n0\r\nX-Sum: 1\r\n\r\n");
        int forwardedBytes = 0;
        for (int size = HttpStreams.readChunkSize(attemptSocket);
                size > 0;
                size = HttpStreams.readChunkSize(attemptSocket)) {
            forwardedBytes += attemptSocket.getInputStream().readNBytes(size).length;
            attemptSocket.getInputStream().readNBytes(2);
        }
        assertEquals(LENGTH + 3, forwardedBytes);
        FakePeer.write(attemptSocket, RESPONSE);
        assertTrue(FakePeer.readMessage(client).endsWith("done"));
    }

    @Test
    void sends100ContinueToClientThatExpectsIt() throws Exception {
        startNode(1);
        FakePeer.write(client, formatHead(1, LENGTH).replace("X-Org", "Expect: 100-continue\r\nX-Org"));
        assertTrue(HttpStreams.readHead(client).startsWith("HTTP/1.1 100 "));
        HttpStreams.write(client, 0, LENGTH);
        Socket attemptSocket = accept();
        assertNull(FakePeer.findHeader(HttpStreams.readHead(attemptSocket), "Expect"));
        attemptSocket.getInputStream().readNBytes(LENGTH);
        FakePeer.write(attemptSocket, RESPONSE);
        assertTrue(FakePeer.readMessage(client).endsWith("done"));
    }

    @Test
    void neverCompletesIncompleteRequestAtServer() throws Exception {
        startNode(1);
        // The client disconnects, sends a malformed chunk, or sends nothing more.
        FakePeer.write(client, formatHead(1, LENGTH));
        HttpStreams.write(client, 0, 100_000);
        Socket attemptSocket = accept();
        int port = client.getPort();
        client.close();
        HttpStreams.readHead(attemptSocket);
        assertEquals(100_000, attemptSocket.getInputStream().readAllBytes().length);
        for (String rest : new String[] {"zz\r\n", ""}) {
            client = Fixture.connect(port);
            FakePeer.write(client, formatChunkedHead(2 + rest.length()) + Integer.toHexString(LENGTH) + "\r\n");
            HttpStreams.write(client, 0, LENGTH);
            FakePeer.write(client, "\r\n" + rest);
            attemptSocket = accept();
            HttpStreams.readHead(attemptSocket);
            byte[] forwarded = attemptSocket.getInputStream().readAllBytes();
            String forwardedEnd = new String(
                    Arrays.copyOfRange(forwarded, forwarded.length - 7, forwarded.length), StandardCharsets.ISO_8859_1);
            assertTrue(!forwardedEnd.endsWith("\r\n0\r\n\r\n"), "ended as if it were complete");
            assertTrue(HttpStreams.readHead(client).startsWith(rest.isEmpty() ? "HTTP/1.1 408" : "HTTP/1.1 400"));
            client.close();
        }
        assertEquals(0, node.readMetric("attempts"));
        assertEquals(0, node.readMetric("in_flight"));
    }

    @Test
    void retriesOnNextServerWhileBodyIsReplayable() throws Exception {
        startNode(2);
        int length = 100_000;
        Socket firstAttemptSocket = startUpload(length, length - 1);
        FakePeer.write(firstAttemptSocket, "HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n");
        Socket secondAttemptSocket = accept();
        HttpStreams.readHead(secondAttemptSocket);
        HttpStreams.write(client, length - 1, length);
        assertArrayEquals(
                Arrays.copyOf(BODY, length),
                secondAttemptSocket.getInputStream().readNBytes(length));
        FakePeer.write(secondAttemptSocket, RESPONSE);
        assertTrue(FakePeer.readMessage(client).endsWith("done"));
    }

    @Test
    void rejectsRequestAndClosesConnectionWhenBodyIsNotReplayable() throws Exception {
        startNode(2);
        Socket firstAttemptSocket = startUpload(LENGTH, LENGTH - 1);
        firstAttemptSocket.getInputStream().readNBytes(LENGTH - 1);
        FakePeer.RESET.run(firstAttemptSocket, "");
        String response = FakePeer.readMessage(client);
        assertTrue(response.startsWith("HTTP/1.1 503"), response);
        assertEquals("close", FakePeer.findHeader(response, "Connection"));
        assertNull(FakePeer.readMessage(client));
    }

    @Test
    void doesNotForwardSuccessForIncompleteRequest() throws Exception {
        startNode(1);
        Socket attemptSocket = startUpload(LENGTH, 100_000);
        FakePeer.write(attemptSocket, RESPONSE);
        String response = FakePeer.readMessage(client);
        assertTrue(!response.startsWith("HTTP/1.1 200"), response);
    }

    @Test
    void stopsReadingFromClientWhileServerDoesNotRead() throws Exception {
        startNode(1);
        int length = 32 << 20;
        FakePeer.write(client, formatHead(1, length));
        AtomicInteger writtenBytes = new AtomicInteger();
        Thread writer = new Thread(() -> {
            try {
                while (writtenBytes.get() < length) {
                    client.getOutputStream().write(new byte[1 << 16]);
                    writtenBytes.addAndGet(1 << 16);
                }
            } catch (IOException e) {
                return;
            }
        });
        writer.start();
        Socket attemptSocket = accept();
        HttpStreams.readHead(attemptSocket);
        // Ends when all is written, or when nothing was written during 2,000 iterations of the event loop.
        int lastWritten = 0;
        for (int iterations = 0; iterations < 2_000 && lastWritten < length; iterations++) {
            node.loop.submit(() -> {}).get();
            iterations = writtenBytes.get() == lastWritten ? iterations : 0;
            lastWritten = writtenBytes.get();
        }
        assertTrue(lastWritten < length / 2, "bytes that the node and its sockets took: " + lastWritten);
        byte[] buffer = new byte[1 << 16];
        int readBytes = 0;
        while (readBytes < length) {
            readBytes += attemptSocket.getInputStream().read(buffer, 0, Math.min(buffer.length, length - readBytes));
        }
        FakePeer.write(attemptSocket, RESPONSE);
        assertTrue(FakePeer.readMessage(client).endsWith("done"));
        writer.join();
    }
}
