package tansypass.node.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tansypass.balancer.AttemptResult;
import tansypass.node.FakePeer;
import tansypass.node.http.HeapBufferLimiter;
import tansypass.node.http.RequestBody;
import tansypass.node.http.UpstreamResponse;

/** Attempts of a request whose body is still being received. */
@Timeout(120)
class RetriedUploadTest extends UpstreamTestBase {
    private static final int HALF_BYTES = 50_000;
    private static final String RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";

    private final RequestBody body = new RequestBody(new HeapBufferLimiter(128));
    private UpstreamConnectionPool pool;

    /** Streams the body, and starts the given number of retries as soon as an attempt fails. */
    private final class UploadHandler implements AttemptHandler {
        final BlockingQueue<AttemptResult> results = new LinkedBlockingQueue<>();
        private int retries;

        UploadHandler(int retries) {
            this.retries = retries;
        }

        @Override
        public boolean isSendable() {
            return body.canBeRead();
        }

        @Override
        public HttpRequest createMessage() {
            HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/x");
            head.headers().set("Content-Length", 2 * HALF_BYTES);
            return head;
        }

        @Override
        public RequestBody requestBody() {
            return body;
        }

        @Override
        public void onAttemptEnded(AttemptResult result, UpstreamResponse response) {
            results.add(result);
            if (result != AttemptResult.OK && retries > 0) {
                retries--;
                pool.startAttempt("s", this);
            }
        }
    }

    private void receiveHalf() {
        body.add(Unpooled.wrappedBuffer(new byte[HALF_BYTES]));
    }

    /** Accepts the connection of an attempt, and reads its request. */
    private static Socket acceptRequest(ServerSocket listener) throws IOException {
        Socket connection = listener.accept();
        connection.setSoTimeout((int) TimeUnit.SECONDS.toMillis(FakePeer.AWAIT_TIMEOUT_S));
        FakePeer.readMessage(connection);
        return connection;
    }

    /** Responds to an attempt's request, after which its connection is idle. */
    private static void respond(Socket connection, BlockingQueue<?> results) throws Exception {
        FakePeer.write(connection, RESPONSE);
        FakePeer.awaitNext(results);
    }

    /** Guards against a retry on an idle connection that never gets the rest of a body, so that its client never gets a
     * response. The broken connection reports its end twice: by an exception, and by its close. */
    @Test
    void retryOnIdleConnectionGetsPartsThatAreReceivedLater() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            pool = openPool("127.0.0.1:" + listener.getLocalPort(), IDLE_US);
            RecordingHandler first = new RecordingHandler(10);
            RecordingHandler second = new RecordingHandler(10);
            start(pool, first);
            Socket idleConnection = acceptRequest(listener);
            start(pool, second);
            Socket brokenConnection = acceptRequest(listener);
            respond(idleConnection, first.reports);
            respond(brokenConnection, second.reports);
            UploadHandler handler = new UploadHandler(1);
            loop.submit(() -> {
                        receiveHalf();
                        // The connection that was used last is used first.
                        pool.startAttempt("s", handler);
                    })
                    .get();
            assertTrue(brokenConnection.getInputStream().read() >= 0);
            FakePeer.RESET.run(brokenConnection, "");
            assertEquals(AttemptResult.CONNECT_FAILED, FakePeer.awaitNext(handler.results));
            loop.submit(() -> {
                        receiveHalf();
                        body.complete();
                    })
                    .get();
            assertEquals(
                    2 * HALF_BYTES,
                    FakePeer.readMessage(idleConnection).split("\r\n\r\n", 2)[1].length());
            respond(idleConnection, handler.results);
        }
    }

    /** Guards against an attempt that nobody ends, because its body can't be read when it gets its connection. */
    @Test
    void attemptWhoseBodyIsBeingReadEndsAsNotSentAndLeavesItsConnectionUsable() throws Exception {
        pool = openPool(server.address(), IDLE_US);
        UploadHandler handler = new UploadHandler(0);
        loop.submit(() -> {
                    receiveHalf();
                    pool.startAttempt("s", handler);
                    pool.startAttempt("s", handler);
                })
                .get();
        assertEquals(AttemptResult.NOT_SENT, FakePeer.awaitNext(handler.results));
        RecordingHandler next = new RecordingHandler(10);
        start(pool, next);
        assertEquals(AttemptResult.OK, next.awaitReport().result());
        FakePeer.awaitNext(server.accepted);
        FakePeer.awaitNext(server.accepted);
        assertTrue(server.accepted.isEmpty(), "the connection was not used");
    }
}
