package tansypass.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import tansypass.node.configuration.NodeConfig;

/**
 * A server starts to drain while the watch is stalled. The node must learn this within 6 s from the start of the stall,
 * or 4 s from a change of the configuration. The event loop measures the time, because its timers fire in order.
 */
@Timeout(120)
class StalledWatchTest {
    private static final long STALL_LIMIT_MS = 6_000;
    private static final long RELOAD_LIMIT_MS = 4_000;
    private static final long CHECK_INTERVAL_MS = 10;

    /** The bytes that each stalled watch sends before it falls silent, in order; later watches send the update. */
    private final BlockingQueue<String> stalledResponses = new LinkedBlockingQueue<>();

    private FakePeer drainingServer;
    private FakePeer readyServer;
    private FakePeer discovery;
    private FakePeer otherDiscovery;
    private RunningNode node;

    @BeforeEach
    void open() throws Exception {
        drainingServer = new FakePeer(Fixture.RESPOND_OK);
        readyServer = new FakePeer(Fixture.RESPOND_OK);
        discovery = new FakePeer(this::respondToWatch);
        otherDiscovery = new FakePeer(this::respondToWatch);
    }

    @AfterEach
    void close() throws Exception {
        if (node != null) {
            node.close();
        }
        for (FakePeer peer : List.of(drainingServer, readyServer, discovery, otherDiscovery)) {
            peer.close();
        }
    }

    private void respondToWatch(Socket watch, String request) throws IOException {
        String stalledResponse = stalledResponses.poll();
        if (stalledResponse == null) {
            Fixture.beginWatch(watch);
            Fixture.writeWatchLine(watch, Fixture.formatEndpointList(42, false, "Terminating", drainingServer));
        } else {
            FakePeer.write(watch, stalledResponse);
        }
    }

    private JsonObject createConfig(FakePeer peer, boolean pushed) {
        JsonObject configJson = Fixture.createConfig(peer, drainingServer, readyServer);
        configJson.getAsJsonObject("settings").addProperty("membershipMode", pushed ? "pushed" : "on_request");
        return configJson;
    }

    /** Returns whether the node excludes the draining server within this time on its event loop. */
    private boolean isExcludedWithin(long limitMs) throws Exception {
        CompletableFuture<Boolean> excluded = new CompletableFuture<>();
        Future<?> check = node.loop.scheduleAtFixedRate(
                () -> {
                    if (node.readMetric("web_servers_excluded") == 1) {
                        excluded.complete(true);
                    }
                },
                0,
                CHECK_INTERVAL_MS,
                TimeUnit.MILLISECONDS);
        node.loop.schedule(() -> excluded.complete(false), limitMs, TimeUnit.MILLISECONDS);
        boolean result = excluded.get();
        check.cancel(false);
        return result;
    }

    private void assertDrainingServerGetsNoRequest() throws Exception {
        Socket client = node.connect();
        for (int i = 0; i < 20; i++) {
            FakePeer.write(client, Fixture.formatRequest("GET", "/view", i, "", ""));
            assertTrue(FakePeer.readMessage(client).startsWith("HTTP/1.1 200"));
        }
        assertEquals(0, drainingServer.requests.size());
    }

    static List<Arguments> stalls() {
        String heartbeat = Fixture.WATCH_HEAD + "1\r\n\n\r\n";
        String partialLine = Fixture.WATCH_HEAD + "1000\r\n{\"rev\":42,\"all\":false,";
        return List.of(
                Arguments.of(true, List.of("")),
                Arguments.of(true, List.of(Fixture.WATCH_HEAD)),
                Arguments.of(true, List.of(partialLine)),
                Arguments.of(true, List.of(heartbeat, "")),
                Arguments.of(false, List.of(heartbeat, partialLine)),
                Arguments.of(false, List.of("", "", partialLine)));
    }

    @ParameterizedTest
    @MethodSource("stalls")
    void recoversMissedUpdateOfStalledWatchInTime(boolean pushed, List<String> stalls) throws Exception {
        stalledResponses.addAll(stalls);
        node = new RunningNode(createConfig(discovery, pushed));
        assertTrue(isExcludedWithin(STALL_LIMIT_MS));
        assertTrue(stalledResponses.isEmpty());
        assertDrainingServerGetsNoRequest();
    }

    @Test
    void resubscribesInTimeWhenNewDiscoveryIsSilentAfterReload() throws Exception {
        stalledResponses.add(Fixture.WATCH_HEAD + "1\r\n\n\r\n");
        stalledResponses.add("");
        stalledResponses.add("");
        node = new RunningNode(createConfig(discovery, true));
        discovery.nextRequest();
        JsonObject movedConfig = createConfig(otherDiscovery, true);
        NodeConfig reloaded = Fixture.loadConfig(movedConfig);
        node.loop.submit(() -> node.node.reload(reloaded)).get();
        assertTrue(isExcludedWithin(RELOAD_LIMIT_MS));
        assertDrainingServerGetsNoRequest();
        assertEquals(0, discovery.requests.size());
        assertEquals(3, otherDiscovery.requests.size());
    }
}
