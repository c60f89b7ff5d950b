package tansypass.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.logging.ConsoleHandler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tansypass.node.lifecycle.DescriptorLimiter;

/** The program in a process of its own: start, signals, exit codes and descriptor limits. */
@Timeout(120)
class MainTest extends ReservedPortTestBase {
    private static final int SUCCESS = 0;
    private static final int FAILURE = 1;
    private static final int INVALID_CONFIGURATION = 2;

    private ChildNodeProcess process;

    @AfterEach
    void close() throws Exception {
        if (process != null) {
            process.kill();
        }
    }

    private void startAndAwaitReady(JsonObject config) throws Exception {
        startAndAwaitReady(config, "");
    }

    private void startAndAwaitReady(JsonObject config, String shellPrefix) throws Exception {
        start(Fixture.writeConfigFile(config).toString(), shellPrefix);
        awaitReady();
    }

    private void start(String configFile, String shellPrefix) throws IOException {
        process = new ChildNodeProcess(Main.class, configFile, shellPrefix);
    }

    private void awaitReady() throws Exception {
        long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(60);
        String response = "";
        while (response == null || !response.startsWith("HTTP/1.1 200")) {
            assertTrue(
                    process.isAlive() && System.nanoTime() < deadlineNs,
                    () -> "never ready; it printed: " + process.killAndReadOutput());
            try (Socket socket = connect()) {
                FakePeer.write(socket, "GET /ready HTTP/1.1\r\n\r\n");
                response = FakePeer.readMessage(socket);
            } catch (IOException e) {
                // The process does not listen yet. Waiting for its exit leaves it the processor.
                process.awaitExit(20);
            }
        }
    }

    @Test
    void sigtermCompletesInFlightRequestAndExitsWithZero() throws Exception {
        server.setScript(FakePeer.SILENT);
        startAndAwaitReady(createConfig());
        Socket idleClient = connect();
        Socket client = connect();
        FakePeer.write(client, Fixture.formatRequest("POST", "/order", 1, "", "x"));
        server.nextRequest();
        Socket attemptSocket = FakePeer.awaitNext(server.accepted);
        process.terminate();
        // For a while after SIGTERM, new clients are still accepted and served.
        Socket lateClient = connect();
        FakePeer.write(lateClient, "GET /nothing HTTP/1.1\r\n\r\n");
        assertTrue(
                FakePeer.readMessage(lateClient).startsWith("HTTP/1.1 404"),
                "a connection opened after SIGTERM is not served");
        assertNull(FakePeer.readMessage(idleClient), "an idle connection is closed after a while");
        assertTrue(process.isAlive(), "exited with a request in flight");
        FakePeer.write(attemptSocket, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
        String response = FakePeer.readMessage(client);
        assertTrue(response.startsWith("HTTP/1.1 200") && response.endsWith("done"), response);
        assertEquals("close", FakePeer.findHeader(response, "Connection"));
        process.assertExits(SUCCESS, "exit code");
    }

    @Test
    void furtherSignalsDuringShutdownLoseNoRequest() throws Exception {
        server.setScript(FakePeer.SILENT);
        startAndAwaitReady(createConfig());
        Socket client = connect();
        FakePeer.write(client, Fixture.formatRequest("POST", "/order", 1, "", "x"));
        server.nextRequest();
        Socket attemptSocket = FakePeer.awaitNext(server.accepted);
        process.terminate();
        process.hangUp();
        process.terminate();
        // Once the node closes a connection after its response, it has handled SIGTERM.
        String connectionHeader = "";
        while (!"close".equals(connectionHeader)) {
            try (Socket lateClient = connect()) {
                FakePeer.write(lateClient, "GET /nothing HTTP/1.1\r\n\r\n");
                connectionHeader = FakePeer.findHeader(FakePeer.readMessage(lateClient), "Connection");
            }
        }
        process.hangUp();
        process.terminate();
        FakePeer.write(attemptSocket, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
        String response = FakePeer.readMessage(client);
        assertTrue(response != null && response.endsWith("done"), response);
        assertNull(FakePeer.readMessage(client), "a second response");
        process.assertExits(SUCCESS, "exit code");
        assertEquals(0, server.requests.size());
    }

    @Test
    void sighupMovesWatchAndKeepsConfigurationOnInvalidFile() throws Exception {
        JsonObject config = createConfig();
        config.getAsJsonObject("settings").addProperty("membershipMode", "pushed");
        Path file = Fixture.writeConfigFile(config);
        start(file.toString(), "export LB_DISCOVERY=" + discovery.address() + "; ");
        awaitReady();
        assertTrue(discovery.nextRequest().contains("after=41 "));
        Socket oldWatch = FakePeer.awaitNext(discovery.accepted);
        Files.writeString(file, "{");
        process.hangUp();
        process.awaitPrinted("the old one stays");
        try (FakePeer moved = new FakePeer(FakePeer.SILENT)) {
            config.addProperty("discovery", moved.address());
            Files.writeString(file, config.toString());
            process.hangUp();
            assertTrue(moved.nextRequest().contains("after=41 "));
            assertSame(oldWatch, FakePeer.awaitNext(discovery.closedConnections));
            assertServed(1);
        }
    }

    @Test
    void servesClientsAfterRunningOutOfDescriptors() throws Exception {
        // The configured limit is higher than that of the process.
        startAndAwaitReady(createConfig(), "ulimit -n 100 && ");
        // In tests, classes are loaded from files, which needs descriptors. This request loads them in time.
        assertServed(0);
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            clients.add(connect());
        }
        // The node closes idle connections to make room, so that each request gets a response.
        Socket requestingClient = clients.get(clients.size() - 1);
        FakePeer.write(requestingClient, Fixture.formatRequest("GET", "/view", 1, "", ""));
        String response = FakePeer.readMessage(requestingClient);
        assertTrue(
                response != null && response.startsWith("HTTP/1.1 "),
                () -> "no response while descriptors are short: " + process.killAndReadOutput());
        for (Socket socket : clients) {
            socket.close();
        }
        assertServed(2);
    }

    @Test
    void startsWithMinimumOfDescriptors() throws Exception {
        startAndAwaitReady(createConfig(), "ulimit -n " + DescriptorLimiter.MIN_DESCRIPTORS + " && ");
    }

    @Test
    void exitsWithOneLineWhenDescriptorsAreTooFew() throws Exception {
        start(
                Fixture.writeConfigFile(Fixture.createConfig(discovery, server)).toString(),
                "ulimit -n " + (DescriptorLimiter.MIN_DESCRIPTORS - 1) + " && ");
        assertExitsWithOneLine("short of file descriptors", FAILURE);
    }

    @Test
    void exitsWhenEventLoopTerminatesByException() throws Exception {
        String configFile = Fixture.writeConfigFile(createConfig()).toString();
        process = new ChildNodeProcess(MainWithFailingLogHandler.class, configFile, "");
        process.assertExits(FAILURE, "exit code");
        String output = process.killAndReadOutput();
        assertTrue(output.contains("tansypass: the event loop has ended by a fault"), output);
    }

    /** The node's program with a log handler that throws at each record, as if its classes could not be loaded. */
    static final class MainWithFailingLogHandler {
        public static void main(String[] args) {
            Logger.getLogger("").addHandler(new ConsoleHandler() {
                @Override
                public synchronized void publish(LogRecord logRecord) {
                    throw new NoClassDefFoundError("thrown by the test");
                }
            });
            Main.main(args);
        }
    }

    @Test
    void exitsWithOneLineOnUnreadableConfigurationFile() throws Exception {
        Path malformed = Files.createTempFile("node", ".json");
        Files.writeString(malformed, "{\"seed\":}");
        assertRejected((String) null, "LB_CONFIG");
        assertRejected("/nowhere/config.json", "LB_CONFIG");
        assertRejected(malformed.toString(), "JSON");
        Files.delete(malformed);
    }

    @Test
    void exitsWithOneLineOnInvalidConfiguration() throws Exception {
        assertRejected(changedConfig(config -> config.remove("settings")), "settings");
        assertRejected(changedConfig(config -> config.remove("seed")), "seed");
        assertRejected(
                changedConfig(config -> config.getAsJsonObject("settings").remove("classes")), "classes");
        assertRejected(changedConfig(config -> config.addProperty("admin", "127.0.0.1")), "address and port");
        assertRejected(
                changedConfig(config -> config.getAsJsonObject("settings")
                        .getAsJsonArray("zones")
                        .add(new JsonObject())),
                "wrong form");
    }

    private JsonObject changedConfig(Consumer<JsonObject> change) {
        JsonObject config = Fixture.createConfig(discovery, server);
        change.accept(config);
        return config;
    }

    @Test
    void exitsWithErrorWhenAddressIsInUse() throws Exception {
        JsonObject config = Fixture.createConfig(discovery, server);
        config.addProperty("admin", server.address());
        start(Fixture.writeConfigFile(config).toString(), "");
        assertExitsWithOneLine("can't listen for operators", FAILURE);
        config.remove("admin");
        config.addProperty("listen", server.address());
        start(Fixture.writeConfigFile(config).toString(), "");
        String output = process.awaitOutputEnd();
        process.assertExits(FAILURE, output);
        List<String> lines = output.lines().toList();
        assertTrue(lines.get(lines.size() - 1).contains("can't listen for clients"), output);
    }

    private void assertRejected(JsonObject config, String expectedText) throws Exception {
        assertRejected(Fixture.writeConfigFile(config).toString(), expectedText);
    }

    private void assertRejected(String configFile, String expectedText) throws Exception {
        start(configFile, "");
        assertExitsWithOneLine(expectedText, INVALID_CONFIGURATION);
    }

    private void assertExitsWithOneLine(String expectedText, int exitCode) throws Exception {
        String output = process.awaitOutputEnd();
        process.assertExits(exitCode, output);
        assertTrue(output.contains(expectedText) && output.lines().count() == 1, output);
    }
}
