package tansypass.node;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import java.io.IOException;
import java.net.ConnectException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;

/** A node in a process of its own with the memory limits of the platform's command, for tests of many clients. */
abstract class MemoryLimitedNodeTestBase extends ReservedPortTestBase {
    /** The time that the client of an ordinary request waits, and after which the request has failed. */
    static final int SHORT_REMAINING_MS = 400;
    /** A request without a response so long after it was sent is lost: half a second and 50 ms after its time. */
    private static final int LOST_AFTER_MS = SHORT_REMAINING_MS + 550;

    private static final Path DEPLOY_FILE = Path.of("..", "deploy", "balancer.toml");
    private static final Pattern RUN_COMMAND = Pattern.compile("(?m)^run = \"exec java (.*) -jar .*\"$");

    ChildNodeProcess process;
    private int adminPort;

    /** Starts a node with the flags of {@code run}, and waits until it listens. */
    final void startNode(int descriptors) throws Exception {
        startNode(descriptors, createConfig());
    }

    /** Starts a node with another configuration and the flags of {@code run}, and waits until it listens. */
    final void startNode(int descriptors, JsonObject config) throws Exception {
        startNode(descriptors, config, readRunFlags());
    }

    /** Starts a node with the given flags of the JVM, and waits until it listens. */
    final void startNode(int descriptors, JsonObject config, String jvmFlags) throws Exception {
        config.getAsJsonObject("limits").addProperty("sockets", descriptors);
        try (ServerSocket unused = new ServerSocket(0)) {
            adminPort = unused.getLocalPort();
        }
        config.addProperty("admin", "127.0.0.1:" + adminPort);
        process =
                new ChildNodeProcess(Main.class, Fixture.writeConfigFile(config).toString(), "", jvmFlags);
        awaitListening();
    }

    /** Returns the flags of {@code run}, without its class archive, which belongs to its jar. */
    private static String readRunFlags() throws IOException {
        Matcher run = RUN_COMMAND.matcher(Files.readString(DEPLOY_FILE));
        assertTrue(run.find(), "no command run in " + DEPLOY_FILE);
        return Arrays.stream(run.group(1).split(" "))
                .filter(flag -> !flag.contains("SharedArchiveFile"))
                .collect(Collectors.joining(" "));
    }

    private void awaitListening() throws IOException {
        long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(FakePeer.AWAIT_TIMEOUT_S);
        while (true) {
            try {
                connect().close();
                return;
            } catch (ConnectException e) {
                assertTrue(
                        process.isAlive() && System.nanoTime() < deadlineNs,
                        () -> "not listening; it printed: " + process.killAndReadOutput());
            }
        }
    }

    @AfterEach
    final void killNode() throws InterruptedException {
        if (process != null) {
            process.kill();
        }
    }

    /** Asserts that a request on a new connection gets a response before it counts as lost. */
    final void assertNotLost(long id) throws IOException {
        try (Socket client = connect()) {
            client.setSoTimeout(LOST_AFTER_MS);
            FakePeer.write(
                    client,
                    Fixture.formatRequest("GET", "/view", id, "", "")
                            .replace(
                                    "X-Remaining-Ms: " + Fixture.REMAINING_MS,
                                    "X-Remaining-Ms: " + SHORT_REMAINING_MS));
            assertNotNull(FakePeer.readMessage(client), "closed without a response");
        }
    }

    /** Reads the node's metrics by their full names. */
    final Map<String, Long> readMetrics() throws IOException {
        try (Socket admin = Fixture.connect(adminPort)) {
            FakePeer.write(admin, "GET /_vars HTTP/1.1\r\nHost: n0\r\n\r\n");
            String response = FakePeer.readMessage(admin);
            return response.lines()
                    .filter(line -> line.startsWith("node."))
                    .map(line -> line.split("="))
                    .collect(Collectors.toMap(field -> field[0], field -> Long.valueOf(field[1])));
        }
    }
}
