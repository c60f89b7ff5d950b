package tansypass.cli;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import picocli.CommandLine;
import tansypass.cluster.transport.ClusterTransport;

/** The output of {@code members --all} if the views of members differ. */
@Timeout(60)
class DisagreementTest {
    private final List<HttpServer> servers = new ArrayList<>();

    private HttpServer newServer() throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        servers.add(server);
        return server;
    }

    private static String addressOf(HttpServer server) {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    private static String entryJson(String name, String state, long unchangedMs, String address) {
        return """
                {"name":"%s","gen":7,"nonce":1,"zone":"a","role":"node","at":"%s","old":1,\
                "new":1,"state":"%s","inc":0,"for_ms":%d}""".formatted(name, address, state, unchangedMs);
    }

    private static void serve(HttpServer server, String name, String... entries) {
        byte[] page = ("{\"name\":\"" + name + "\",\"deployment\":\"d\",\"version\":1,\"digest\":\"x\","
                        + "\"standing\":\"joined\",\"members\":[" + String.join(",", entries) + "]}")
                .getBytes(StandardCharsets.UTF_8);
        server.createContext(ClusterTransport.VIEW_PATH, exchange -> {
            exchange.sendResponseHeaders(200, page.length);
            exchange.getResponseBody().write(page);
            exchange.close();
        });
        server.start();
    }

    @AfterEach
    void stopServers() {
        servers.forEach(server -> server.stop(0));
    }

    @Test
    void listsDisagreementsWithViewersAndDuration() throws Exception {
        HttpServer a = newServer();
        HttpServer b = newServer();
        serve(
                a,
                "a",
                entryJson("a", "alive", 90_000, addressOf(a)),
                entryJson("b", "alive", 90_000, addressOf(b)),
                entryJson("c", "failed", 12_300, "127.0.0.1:1"));
        serve(
                b,
                "b",
                entryJson("a", "alive", 90_000, addressOf(a)),
                entryJson("b", "alive", 90_000, addressOf(b)),
                entryJson("c", "left", 4_500, "127.0.0.1:1"));
        StringWriter out = new StringWriter();
        CommandLine commandLine = Main.commandLine();
        commandLine.setOut(new PrintWriter(out)).setErr(new PrintWriter(new StringWriter()));
        int code = commandLine.execute("members", addressOf(a), "--all");
        assertTrue(code == Exit.NEGATIVE, out.toString());
        assertTrue(
                out.toString()
                        .replaceAll(" +", " ")
                        .contains("\nmember state zone role generation inc for, s address\n"),
                out.toString());
        assertTrue(out.toString().contains("disagreed about c for 4.5 s: {failed 7=[a], left 7=[b]}"), out.toString());
        assertTrue(out.toString().contains("2 asked, 1 members disagreed about, 0 silent"), out.toString());
    }
}
