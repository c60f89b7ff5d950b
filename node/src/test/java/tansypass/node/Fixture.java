package tansypass.node;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.StandardSocketOptions;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import tansypass.node.configuration.InvalidNodeConfigException;
import tansypass.node.configuration.NodeConfig;
import tansypass.node.http.BufferLimiters;
import tansypass.platform.EnvironmentConfigSource;

/** Creates configurations, requests, endpoint lists and connections for the tests. */
public final class Fixture {
    /** The deadline of requests, in milliseconds after they are sent. */
    static final int REMAINING_MS = 20_000;
    /** The head of the response to a watch. */
    static final String WATCH_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private static final String CLASSES = """
            [{"name":"view","onTimeUs":10000000,"giveUpUs":30000000,"repeat":"safe","group":"all"},
             {"name":"photo","onTimeUs":10000000,"giveUpUs":30000000,"repeat":"keyed","group":"cell",
              "windowUs":1200000},
             {"name":"order","onTimeUs":10000000,"giveUpUs":30000000,"repeat":"unsafe","group":"all"},
             {"name":"slow","onTimeUs":30000000,"giveUpUs":30000000,"repeat":"unsafe","group":"all"}]""";

    /** Responds to each request at once, with status 200. */
    static final FakePeer.Script RESPOND_OK = FakePeer.respondWith("200 OK", "", "done");

    private static final long DIRECT_MEMORY_BYTES = 24 << 20;
    private static final int MAX_STREAMS = 341;

    private Fixture() {}

    /** Creates limiters for as much direct memory and as many clients as a node on the platform has. */
    static BufferLimiters newBufferLimiters() {
        return new BufferLimiters(DIRECT_MEMORY_BYTES, MAX_STREAMS);
    }

    /** Connects to a port on loopback. A read from the socket times out after {@link FakePeer#AWAIT_TIMEOUT_S}. */
    public static Socket connect(int port) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(FakePeer.AWAIT_TIMEOUT_S));
        return socket;
    }

    /** Creates a configuration whose endpoint list has these servers, all of them ready. */
    static JsonObject createConfig(FakePeer discovery, FakePeer... servers) {
        return JsonParser.parseString(
                        """
                {"name":"n0","listen":"127.0.0.1:0","discovery":"%s","seed":"8c1f30d27a5be964",
                 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":%s,
                 "settings":{"balancers":1,"zones":["a"],"myZone":"a","classes":%s,
                  "realms":[{"name":"acme","quotaPerS":1000,"share":1}],"membershipMode":"on_request",
                  "limits":{"attemptsCap":4,"cancelling":true,"parallelTries":true,"retryAfter":true,
                   "maxRetryAfterUs":1000000,"dialTimeoutUs":2000000,"connIdleUs":60000000},
                  "rules":{"askWithinUs":10000000,"drainGraceUs":500000}}}
                """.formatted(discovery.address(), formatEndpointList(41, true, "Ready", servers), CLASSES))
                .getAsJsonObject();
    }

    /**
     * Reserves a port for a node to listen on: the returned socket is bound with SO_REUSEPORT, as nodes bind
     * theirs, and does not listen. The port stays reserved until the caller closes it.
     */
    static Socket reservePort() throws IOException {
        Socket socket = new Socket();
        socket.setOption(StandardSocketOptions.SO_REUSEPORT, true);
        socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        return socket;
    }

    /**
     * Fills a listener's accept queue, so that Linux drops further SYN packets. The caller closes the returned
     * sockets.
     */
    public static List<Socket> fillAcceptQueue(ServerSocket listener) throws IOException {
        List<Socket> queued = new ArrayList<>();
        try {
            while (queued.size() < 20) {
                Socket next = new Socket();
                queued.add(next);
                next.connect(listener.getLocalSocketAddress(), 100);
            }
        } catch (SocketTimeoutException e) {
            if (queued.size() < 2) {
                throw new IOException("the accept queue was full from the start", e);
            }
        }
        return queued;
    }

    /** Blocks the thread of an event loop until the returned latch is counted down. */
    public static CountDownLatch blockEventLoop(EventLoop loop) throws InterruptedException {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        loop.execute(() -> {
            blocked.countDown();
            awaitLatch(release);
        });
        blocked.await();
        return release;
    }

    /** Blocks the calling thread until the latch is counted down, for {@link FakePeer#AWAIT_TIMEOUT_S} at most. */
    public static void awaitLatch(CountDownLatch latch) {
        try {
            latch.await(FakePeer.AWAIT_TIMEOUT_S, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Writes a configuration to a temporary file. */
    static Path writeConfigFile(JsonObject configJson) throws IOException {
        Path file = Files.createTempFile("node", ".json");
        file.toFile().deleteOnExit();
        return Files.writeString(file, configJson.toString());
    }

    /** Loads a configuration from a temporary file, as the platform's process does. */
    static NodeConfig loadConfig(JsonObject configJson) throws IOException, InvalidNodeConfigException {
        return new EnvironmentConfigSource(
                        Map.of("LB_CONFIG", writeConfigFile(configJson).toString()))
                .load();
    }

    /** Formats a message of the watch: the complete endpoint list if {@code all} is true, changes to it otherwise. */
    public static String formatEndpointList(long revision, boolean all, String state, FakePeer... servers) {
        StringBuilder targets = new StringBuilder();
        for (FakePeer server : servers) {
            targets.append(targets.isEmpty() ? "" : ",").append("""
                    {"uid":"s-%d","endpoint":"%s","az":"a","model":"m","pod_group":3,"state":"%s",\
                    "capacity_hint":1.0,"boot_ms":0}""".formatted(server.port(), server.address(), state));
        }
        return "{\"rev\":" + revision + ",\"all\":" + all + ",\"targets\":[" + targets + "]}";
    }

    /** Formats a request. Each of the additional headers must end with CRLF. */
    static String formatRequest(String method, String path, long id, String headers, String body) {
        return method + " " + path + " HTTP/1.1\r\nHost: backend.local\r\nX-Txn: "
                + String.format("%016x", id) + "\r\nX-Org: acme\r\nX-Remaining-Ms: " + REMAINING_MS + "\r\n"
                + headers + (method.equals("GET") ? "" : "Content-Length: " + body.length() + "\r\n") + "\r\n"
                + body;
    }

    /** Sends the head of the response to a watch. */
    public static void beginWatch(Socket watch) throws IOException {
        FakePeer.write(watch, WATCH_HEAD);
    }

    /** Sends a line of a watch as an HTTP chunk. An empty line is a heartbeat. */
    public static void writeWatchLine(Socket watch, String line) throws IOException {
        FakePeer.write(watch, Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n");
    }
}
