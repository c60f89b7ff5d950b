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
    private ChildNodeProcess process;
    private Class<?> program = Main.class;

    @AfterEach
    void close() throws Exception {
        if (process != null) {
            process.kill();
        }
    }

    private void start(JsonObject config, String shellPrefix) throws Exception {
        run(Fixture.writeConfigFile(config).toString(), shellPrefix);
        awaitReady();
    }

    private void run(String configFile, String shellPrefix) throws IOException {
        process = new ChildNodeProcess(program, configFile, shellPrefix);
    }

    private void awaitReady() throws Exception {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(60);
        String response = "";
        while (response == null || !response.startsWith("HTTP/1.1 200")) {
            assertTrue(
                    process.isAlive() && System.nanoTime() < deadline,
                    () -> "never ready; it printed: " + process.killAndReadOutput());
            try (Socket socket = connect()) {
                FakePeer.write(socket, "GET /ready HTTP/1.1\r\n\r\n");
                response = FakePeer.readMessage(socket);
            } catch (IOException e) {
                // Not listening yet: leave the processor to the process.
                process.awaitExit(20);
            }
        }
    }

    @Test
    void sigtermCompletesInFlightRequestAndExitsWithZero() throws Exception {
        server.setScript(FakePeer.SILENT);
        start(createConfig(), "");
        Socket idle = connect();
        Socket client = connect();
        FakePeer.write(client, Fixture.formatRequest("POST", "/order", 1, "", "x"));
        server.nextRequest();
        Socket attempt = FakePeer.awaitNext(server.accepted);
        process.terminate();
        // For a while new clients are still accepted, and served.
        Socket late = connect();
        FakePeer.write(late, "GET /nothing HTTP/1.1\r\n\r\n");
        assertTrue(
                FakePeer.readMessage(late).startsWith("HTTP/1.1 404"),
                "a connection opened after SIGTERM is not served");
        assertNull(FakePeer.readMessage(idle), "an idle connection is closed after a while");
        assertTrue(process.isAlive(), "exited with a request in flight");
        FakePeer.write(attempt, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
        String response = FakePeer.readMessage(client);
        assertTrue(response.startsWith("HTTP/1.1 200") && response.endsWith("done"), response);
        assertEquals("close", FakePeer.findHeader(response, "Connection"));
        process.assertExits(0, "exit code");
    }

    @Test
    void furtherSignalsDuringShutdownLoseNoRequest() throws Exception {
        server.setScript(FakePeer.SILENT);
        start(createConfig(), "");
        Socket client = connect();
        FakePeer.write(client, Fixture.formatRequest("POST", "/order", 1, "", "x"));
        server.nextRequest();
        Socket attempt = FakePeer.awaitNext(server.accepted);
        process.terminate();
        process.hangUp();
        process.terminate();
        // The node has handled SIGTERM once connections close after their response.
        String connectionHeader = "";
        while (!"close".equals(connectionHeader)) {
            try (Socket late = connect()) {
                FakePeer.write(late, "GET /nothing HTTP/1.1\r\n\r\n");
                connectionHeader = FakePeer.findHeader(FakePeer.readMessage(late), "Connection");
            }
        }
        process.hangUp();
        process.terminate();
        FakePeer.write(attempt, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
        String response = FakePeer.readMessage(client);
        assertTrue(response != null && response.endsWith("done"), response);
        assertNull(FakePeer.readMessage(client), "a second response");
        process.assertExits(0, "exit code");
        assertEquals(0, server.requests.size());
    }

    @Test
    void sighupMovesWatchAndKeepsConfigurationOnInvalidFile() throws Exception {
        JsonObject config = createConfig();
        config.getAsJsonObject("settings").addProperty("membershipMode", "pushed");
        Path file = Fixture.writeConfigFile(config);
        run(file.toString(), "export LB_DISCOVERY=" + discovery.address() + "; ");
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
            assertSame(oldWatch, FakePeer.awaitNext(discovery.ended));
            assertServed(1);
        }
    }

    @Test
    void servesClientsAfterRunningOutOfDescriptors() throws Exception {
        // The configured limit is higher than that of the process.
        start(createConfig(), "ulimit -n 100 && ");
        // In tests classes are loaded from files, which takes descriptors: load them before these run out.
        assertServed(0);
        List<Socket> many = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            many.add(connect());
        }
        // Idle connections are closed to make room, so that each request gets a response.
        Socket requesting = many.get(many.size() - 1);
        FakePeer.write(requesting, Fixture.formatRequest("GET", "/view", 1, "", ""));
        String response = FakePeer.readMessage(requesting);
        assertTrue(
                response != null && response.startsWith("HTTP/1.1 "),
                () -> "no response while descriptors are short: " + process.killAndReadOutput());
        for (Socket socket : many) {
            socket.close();
        }
        assertServed(2);
    }

    @Test
    void startsWithMinimumOfDescriptors() throws Exception {
        start(createConfig(), "ulimit -n " + DescriptorLimiter.MIN_DESCRIPTORS + " && ");
    }

    @Test
    void exitsWithOneLineWhenDescriptorsAreTooFew() throws Exception {
        run(
                Fixture.writeConfigFile(Fixture.createConfig(discovery, server)).toString(),
                "ulimit -n " + (DescriptorLimiter.MIN_DESCRIPTORS - 1) + " && ");
        assertExitsWithOneLine("short of file descriptors", 1);
    }

    @Test
    void exitsWhenEventLoopTerminatesByException() throws Exception {
        JsonObject config = createConfig();
        program = BrokenLog.class;
        run(Fixture.writeConfigFile(config).toString(), "");
        process.assertExits(1, "exit code");
        String output = process.killAndReadOutput();
        assertTrue(output.contains("tansypass: the event loop has ended by a fault"), output);
    }

    /** The program with a log handler that fails at each record, as if its classes could not be loaded. */
    static final class BrokenLog {
        public static void main(String[] args) {
            Logger.getLogger("").addHandler(new ConsoleHandler() {
                @Override
                public synchronized void publish(LogRecord line) {
                    throw new NoClassDefFoundError("thrown by the test");
                }
            });
            Main.main(args);
        }
    }

    @Test
    void exitsWithOneLineOnInvalidConfiguration() throws Exception {
        JsonObject noSettings = Fixture.createConfig(discovery, server);
        noSettings.remove("settings");
        JsonObject noSeed = Fixture.createConfig(discovery, server);
        noSeed.remove("seed");
        JsonObject noClasses = Fixture.createConfig(discovery, server);
        noClasses.getAsJsonObject("settings").remove("classes");
        Path broken = Files.createTempFile("node", ".json");
        Files.writeString(broken, "{\"seed\":}");
        assertRejected(null, "LB_CONFIG");
        assertRejected("/nowhere/config.json", "LB_CONFIG");
        assertRejected(broken.toString(), "JSON");
        assertRejected(Fixture.writeConfigFile(noSettings).toString(), "settings");
        assertRejected(Fixture.writeConfigFile(noSeed).toString(), "seed");
        assertRejected(Fixture.writeConfigFile(noClasses).toString(), "classes");
        JsonObject noPort = Fixture.createConfig(discovery, server);
        noPort.addProperty("admin", "127.0.0.1");
        assertRejected(Fixture.writeConfigFile(noPort).toString(), "address and port");
        JsonObject wrongForm = Fixture.createConfig(discovery, server);
        wrongForm.getAsJsonObject("settings").getAsJsonArray("zones").add(new JsonObject());
        assertRejected(Fixture.writeConfigFile(wrongForm).toString(), "wrong form");
        Files.delete(broken);
    }

    @Test
    void exitsWithErrorWhenAddressIsInUse() throws Exception {
        JsonObject config = Fixture.createConfig(discovery, server);
        config.addProperty("admin", server.address());
        assertRejected(Fixture.writeConfigFile(config).toString(), "can't listen for operators", 1);
        config.remove("admin");
        config.addProperty("listen", server.address());
        run(Fixture.writeConfigFile(config).toString(), "");
        String output = process.awaitOutputEnd();
        process.assertExits(1, output);
        List<String> lines = output.lines().toList();
        assertTrue(lines.get(lines.size() - 1).contains("can't listen for clients"), output);
    }

    private void assertRejected(String config, String named) throws Exception {
        assertRejected(config, named, 2);
    }

    private void assertRejected(String config, String named, int code) throws Exception {
        run(config, "");
        assertExitsWithOneLine(named, code);
    }

    private void assertExitsWithOneLine(String named, int code) throws Exception {
        String output = process.awaitOutputEnd();
        process.assertExits(code, output);
        assertTrue(output.contains(named) && output.lines().count() == 1, output);
    }
}
