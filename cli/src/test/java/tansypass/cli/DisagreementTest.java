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

/** Output of {@code members --all} for views that differ. */
@Timeout(60)
class DisagreementTest {
    private final List<HttpServer> processes = new ArrayList<>();

    private HttpServer process() throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        processes.add(server);
        return server;
    }

    private static String at(HttpServer server) {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    private static String line(String name, String state, long forMs, String at) {
        return """
                {"name":"%s","gen":7,"nonce":1,"zone":"a","role":"node","at":"%s","old":1,\
                "new":1,"state":"%s","inc":0,"for_ms":%d}""".formatted(name, at, state, forMs);
    }

    private static void serve(HttpServer server, String name, String... lines) {
        byte[] page = ("{\"name\":\"" + name + "\",\"deployment\":\"d\",\"version\":1,\"digest\":\"x\","
                        + "\"standing\":\"joined\",\"members\":[" + String.join(",", lines) + "]}")
                .getBytes(StandardCharsets.UTF_8);
        server.createContext(ClusterTransport.VIEW_PATH, exchange -> {
            exchange.sendResponseHeaders(200, page.length);
            exchange.getResponseBody().write(page);
            exchange.close();
        });
        server.start();
    }

    @AfterEach
    void stop() {
        processes.forEach(p -> p.stop(0));
    }

    @Test
    void listsDisagreementsWithViewersAndDuration() throws Exception {
        HttpServer a = process();
        HttpServer b = process();
        serve(
                a,
                "a",
                line("a", "alive", 90_000, at(a)),
                line("b", "alive", 90_000, at(b)),
                line("c", "failed", 12_300, "127.0.0.1:1"));
        serve(
                b,
                "b",
                line("a", "alive", 90_000, at(a)),
                line("b", "alive", 90_000, at(b)),
                line("c", "left", 4_500, "127.0.0.1:1"));
        StringWriter out = new StringWriter();
        CommandLine line = Main.commandLine();
        line.setOut(new PrintWriter(out)).setErr(new PrintWriter(new StringWriter()));
        int code = line.execute("members", at(a), "--all");
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
