package tansypass.node;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The remaining time that servers are sent is reduced by the time that a request waited unread in a socket buffer. */
@Timeout(60)
class UnreadRequestTest extends RunningNodeTestBase {
    private static final int STALL_MS = 300;
    private static final int FIRST_BYTES_GRACE_MS = 50;

    private static String get(long id) {
        return Fixture.formatRequest("GET", "/view", id, "", "");
    }

    private void assertServed(Socket client) throws Exception {
        String response = FakePeer.readMessage(client);
        assertTrue(response != null && response.startsWith("HTTP/1.1 200"), response);
    }

    private long nextRemainingMs() throws Exception {
        return Long.parseLong(FakePeer.findHeader(server.nextRequest(), "X-Remaining-Ms"));
    }

    /** Waits until the clock that the node uses has advanced by the duration. */
    private static void spinFor(long startNs, long durationMs) {
        while (System.nanoTime() - startNs < TimeUnit.MILLISECONDS.toNanos(durationMs)) {
            Thread.onSpinWait();
        }
    }

    /** The request waits on a connection that has been accepted, or on one that is still in the accept queue. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void deductsTimeInSocketBufferFromRemainingTime(boolean accepted) throws Exception {
        node = new RunningNode(Fixture.createConfig(discovery.peer, server));
        Socket client = node.connect();
        if (accepted) {
            FakePeer.write(client, get(1));
            assertServed(client);
            server.nextRequest();
        }
        CountDownLatch release = node.blockEventLoop();
        Socket sender = accepted ? client : node.connect();
        FakePeer.write(sender, get(2));
        long sentNs = System.nanoTime();
        spinFor(sentNs, STALL_MS);
        release.countDown();
        assertServed(sender);
        long remainingMs = nextRemainingMs();
        assertTrue(remainingMs <= Fixture.REMAINING_MS - STALL_MS, remainingMs + " ms remaining after " + STALL_MS);
    }

    @Test
    void doesNotDeductAcceptQueueTimeFromLaterRequest() throws Exception {
        node = new RunningNode(Fixture.createConfig(discovery.peer, server));
        CountDownLatch release = node.blockEventLoop();
        Socket client = node.connect();
        spinFor(System.nanoTime(), STALL_MS);
        release.countDown();
        // When this response arrives, the earlier connection has been accepted.
        Socket otherClient = node.connect();
        FakePeer.write(otherClient, get(1));
        assertServed(otherClient);
        server.nextRequest();
        spinFor(System.nanoTime(), FIRST_BYTES_GRACE_MS);
        FakePeer.write(client, get(2));
        assertServed(client);
        long remainingMs = nextRemainingMs();
        assertTrue(remainingMs > Fixture.REMAINING_MS - STALL_MS, remainingMs + " ms remaining at once");
    }
}
