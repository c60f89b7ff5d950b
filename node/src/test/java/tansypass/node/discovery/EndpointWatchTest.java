package tansypass.node.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.GsonBuilder;
import com.google.gson.JsonParser;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import tansypass.node.FakePeer;
import tansypass.node.Fixture;
import tansypass.node.TestEventLoopGroup;
import tansypass.node.balancing.EndpointListAdapter;
import tansypass.node.endpoint.EndpointList;
import tansypass.platform.EndpointListJsonReader;

/** The messages that a watch delivers, and its failures, each of which must be reported once. */
@Timeout(120)
class EndpointWatchTest implements EndpointWatch.Listener {
    private final BlockingQueue<EndpointList> lists = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> failures = new LinkedBlockingQueue<>();
    private EventLoopGroup group;
    private FakePeer peer;
    private int port;

    @Override
    public void onEndpointList(EndpointList list) {
        lists.add(list);
    }

    @Override
    public void onWatchFailed(String reason) {
        failures.add(reason);
    }

    @BeforeEach
    void open() throws Exception {
        group = new TestEventLoopGroup(NioIoHandler.newFactory());
        peer = new FakePeer(FakePeer.SILENT);
        port = peer.port();
    }

    @AfterEach
    void close() throws Exception {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        peer.close();
    }

    private EndpointWatch subscribe(long idleTimeoutMs) throws Exception {
        EventLoop loop = group.next();
        EndpointWatch watch =
                new EndpointWatch(loop, new InetSocketAddress("127.0.0.1", port), 41, idleTimeoutMs, false, this);
        loop.submit(watch::subscribe).get();
        return watch;
    }

    /** Asserts that the watch fails once, for a reason that starts with the text, which operators see in the log. */
    private void assertFailsOnce(String reason) throws Exception {
        String failure = FakePeer.awaitNext(failures);
        assertTrue(failure.startsWith(reason), failure);
        FakePeer.awaitNext(peer.closedConnections);
        group.next().submit(() -> {}).get();
        assertTrue(failures.isEmpty(), "reported twice");
    }

    @Test
    void messagesAreDeliveredHoweverTheyAreSplit() throws Exception {
        String changes = Fixture.formatEndpointList(42, false, "Ready", peer);
        String snapshot = Fixture.formatEndpointList(50, true, "Terminating", peer);
        peer.setScript((socket, request) -> {
            Fixture.beginWatch(socket);
            Fixture.writeWatchLine(socket, "");
            Fixture.writeWatchLine(socket, changes + "\n\n" + snapshot);
        });
        EndpointWatch watch = subscribe(20_000);
        assertEquals(EndpointListJsonReader.read(changes), FakePeer.awaitNext(lists));
        assertEquals(EndpointListJsonReader.read(snapshot), FakePeer.awaitNext(lists));
        peer.nextRequest();
        group.next().submit(watch::subscribe).get();
        assertTrue(peer.nextRequest().contains("&after=50 "), "resumes after the latest revision");
        FakePeer.awaitNext(peer.closedConnections);
        assertTrue(failures.isEmpty(), "a replaced watch has not failed");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{'rev':42,",
                "[]",
                "{'rev':42,'all':false}",
                "{'rev':42,'all':false,'targets':[{'uid':'s','endpoint':'example:80','state':'Ready'}]}",
                "{'rev':42,'all':false,'targets':[{'uid':'s','endpoint':'127.0.0.1:80','state':'Odd'}]}",
                "{'rev':'x','all':false,'targets':[]}",
                "{'rev':1,'all':true,'targets':[null]}"
            })
    void aMalformedMessageFailsTheWatchAndIsNotDelivered(String message) throws Exception {
        peer.setScript((socket, request) -> {
            Fixture.beginWatch(socket);
            Fixture.writeWatchLine(socket, message.replace('\'', '"'));
        });
        subscribe(20_000);
        assertFailsOnce(message.endsWith(",") ? "message timeout" : "malformed message: ");
        assertTrue(lists.isEmpty());
    }

    @Test
    void aResetConnectionFailsTheWatch() throws Exception {
        peer.setScript((socket, request) -> {
            Fixture.beginWatch(socket);
            FakePeer.RESET.run(socket, request);
        });
        subscribe(20_000);
        assertFailsOnce("connection failed: ");
    }

    @Test
    void aResponseThatEndsFailsTheWatch() throws Exception {
        peer.setScript(FakePeer.CLOSE);
        subscribe(20_000);
        assertFailsOnce("connection closed");
        peer.setScript(FakePeer.respondWith("200 OK", "", ""));
        subscribe(20_000);
        assertFailsOnce("response ended");
    }

    @Test
    void anErrorStatusFailsTheWatch() throws Exception {
        peer.setScript(FakePeer.respondWith("503 Later", "", "busy"));
        subscribe(20_000);
        assertFailsOnce("unexpected response status 503 Later");
    }

    @Test
    void anIdleWatchFails() throws Exception {
        peer.setScript((socket, request) -> Fixture.beginWatch(socket));
        subscribe(200);
        assertFailsOnce("idle timeout");
    }

    @Test
    void aRefusedConnectionFailsTheWatch() throws Exception {
        try (ServerSocket unused = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = unused.getLocalPort();
        }
        subscribe(20_000);
        String failure = FakePeer.awaitNext(failures);
        assertTrue(failure.startsWith("connection failed: "), failure);
    }

    @Test
    void heartbeatsKeepTheWatchOpen() throws Exception {
        subscribe(3_000);
        Socket socket = FakePeer.awaitNext(peer.accepted);
        peer.nextRequest();
        Fixture.beginWatch(socket);
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(4);
        while (System.nanoTime() < endNs) {
            Fixture.writeWatchLine(socket, "");
            String failure = failures.poll(100, TimeUnit.MILLISECONDS);
            assertEquals(null, failure);
        }
    }

    @Test
    void indentedMessagesInOneByteChunksAreDelivered() throws Exception {
        String list = Fixture.formatEndpointList(42, true, "Ready", peer);
        String indented = new GsonBuilder()
                .setPrettyPrinting()
                .create()
                .toJson(JsonParser.parseString(list.replace("\"m\"", "\"m}\\\"{[\"")));
        assertTrue(indented.lines().count() > 5, indented);
        peer.setScript((socket, request) -> {
            Fixture.beginWatch(socket);
            for (char c : ("\r\n" + indented + "\n" + list + "\n").toCharArray()) {
                FakePeer.write(socket, "1\r\n" + c + "\r\n");
            }
        });
        subscribe(20_000);
        assertEquals(EndpointListJsonReader.read(list), FakePeer.awaitNext(lists));
        assertEquals(EndpointListJsonReader.read(list), FakePeer.awaitNext(lists));
        assertTrue(failures.isEmpty());
    }

    @Test
    void aMissingResponseFailsBeforeTheIdleTimeout() throws Exception {
        subscribe(600_000);
        assertEquals("response timeout", FakePeer.awaitNext(failures));
    }

    /** Discovery queues the second request and responds 1.3 s after it started, measured by the event loop. */
    @Test
    void waitsLongerForResponseAfterResponseTimeout() throws Exception {
        EventLoop loop = group.next();
        EndpointWatch watch = new EndpointWatch(
                loop, new InetSocketAddress("127.0.0.1", port), 41, EndpointWatch.IDLE_TIMEOUT_MS, true, this);
        loop.submit(watch::subscribe).get();
        assertEquals("response timeout", FakePeer.awaitNext(failures));
        FakePeer.awaitNext(peer.accepted);
        loop.submit(watch::subscribe).get();
        Socket queuedWatch = FakePeer.awaitNext(peer.accepted);
        loop.schedule(() -> {}, 1_300, TimeUnit.MILLISECONDS).get();
        Fixture.beginWatch(queuedWatch);
        Fixture.writeWatchLine(queuedWatch, Fixture.formatEndpointList(42, true, "Ready"));
        assertEquals(42, FakePeer.awaitNext(lists).revision());
        assertTrue(failures.isEmpty());
    }

    @Test
    void anIncompleteMessageFailsBeforeTheIdleTimeout() throws Exception {
        peer.setScript((socket, request) -> {
            Fixture.beginWatch(socket);
            FakePeer.write(socket, "a\r\n{\"rev\":42,\r\n");
        });
        subscribe(600_000);
        assertEquals("message timeout", FakePeer.awaitNext(failures));
        assertTrue(lists.isEmpty());
    }

    @Test
    void bytesThatCompleteNoLineDoNotResetTheIdleTimeout() throws Exception {
        subscribe(500);
        Socket socket = FakePeer.awaitNext(peer.accepted);
        peer.nextRequest();
        Fixture.beginWatch(socket);
        long timeoutNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(FakePeer.AWAIT_TIMEOUT_S);
        String failure = null;
        while (failure == null && System.nanoTime() < timeoutNs) {
            FakePeer.write(socket, "1\r\n{\r\n");
            failure = failures.poll(20, TimeUnit.MILLISECONDS);
        }
        assertTrue(failure != null, "the watch did not fail");
    }

    @Test
    void twoIdleWatchesAreReplacedBeforeAMissedDrainTakesEffect() {
        // A drain takes effect after 6 s; each idle watch may be followed by the longest retry delay.
        assertTrue(2 * (EndpointWatch.IDLE_TIMEOUT_MS + EndpointListAdapter.MAX_BACKOFF_MS * 3 / 2) < 6_000);
    }

    @Test
    void anAddressChangeBeforeARetrySubscribesAtOnceAndOnlyOnce() throws Exception {
        peer.setScript(FakePeer.CLOSE);
        EndpointWatch watch = subscribe(20_000);
        FakePeer.awaitNext(failures);
        try (FakePeer newDiscovery = new FakePeer(FakePeer.SILENT)) {
            EventLoop loop = group.next();
            CountDownLatch retryTimePassed = new CountDownLatch(1);
            loop.submit(() -> {
                        watch.subscribeAfter(100);
                        loop.schedule(retryTimePassed::countDown, 150, TimeUnit.MILLISECONDS);
                        watch.changeAddress(new InetSocketAddress("127.0.0.1", newDiscovery.port()));
                    })
                    .get();
            assertTrue(newDiscovery.nextRequest().contains("after=41 "));
            assertTrue(retryTimePassed.await(FakePeer.AWAIT_TIMEOUT_S, TimeUnit.SECONDS));
            loop.submit(() -> {}).get();
            assertEquals(1, newDiscovery.accepted.size(), "the retry replaced an open watch");
            assertTrue(newDiscovery.closedConnections.isEmpty());
            assertEquals(1, peer.requests.size());
        }
    }
}
