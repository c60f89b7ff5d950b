package tansypass.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import picocli.CommandLine;

/** Commands that call a node, run against a stub of its admin server. */
@Timeout(60)
class AdminCommandsTest {
    private static final String VARS = "node.requests.a.served=12\nnode.requests.b.served=3\n"
            + "node.requests.a.refused=1\nnode.requests.a.failed=0\nnode.attempts=17\nnode.in_flight=4\n"
            + "node.web_servers_known=9\nnode.web_servers_excluded=2\n";

    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();
    private final List<String> calls = new CopyOnWriteArrayList<>();
    private HttpServer node;
    private String address;
    private volatile int readyStatus = 200;

    @BeforeEach
    void startStub() throws IOException {
        node = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        node.createContext("/", exchange -> {
            calls.add(exchange.getRequestMethod() + " " + exchange.getRequestURI());
            boolean isVars = exchange.getRequestURI().getPath().equals("/_vars");
            byte[] body = (isVars ? VARS : readyStatus == 200 ? "TAKING\n" : "LAME_DUCK\n")
                    .getBytes(StandardCharsets.US_ASCII);
            exchange.sendResponseHeaders(isVars ? 200 : readyStatus, body.length);
            exchange.getResponseBody().write(body);
            exchange.close();
        });
        node.start();
        address = "127.0.0.1:" + node.getAddress().getPort();
    }

    @AfterEach
    void stopStub() {
        node.stop(0);
    }

    private int run(String... args) {
        CommandLine commandLine = Main.commandLine();
        commandLine.setOut(new PrintWriter(out)).setErr(new PrintWriter(err));
        return commandLine.execute(args);
    }

    @Test
    void statusPrintsStateAndMetrics() {
        assertEquals(Exit.OK, run("status", address));
        assertEquals("state=TAKING\n" + VARS, out.toString());
        readyStatus = 503;
        assertEquals(Exit.NEGATIVE, run("status", address));
    }

    @Test
    void drainSendsLameDuckCalls() {
        assertEquals(Exit.OK, run("drain", "on", address));
        assertEquals(Exit.OK, run("drain", "off", address));
        readyStatus = 409;
        assertEquals(Exit.NEGATIVE, run("drain", "OFF", address));
        assertEquals(List.of("POST /_lameduck/on", "POST /_lameduck/off", "POST /_lameduck/off"), calls);
    }

    @Test
    void watchPrintsRowPerNodeAndReportsUnreachableNodes() {
        assertEquals(Exit.OK, run("watch", "--count", "2", "--every", "0", address, "127.0.0.1:1"));
        List<String> rows = out.toString()
                .lines()
                .map(row -> row.trim().replaceAll(" +", " "))
                .toList();
        assertEquals(6, rows.size(), out.toString());
        assertEquals(address + " TAKING 15 1 0 17 4 7/9", rows.get(1));
        assertTrue(rows.get(2).startsWith("127.0.0.1:1 no answer"), rows.get(2));
        assertEquals(address + " TAKING 0 0 0 0 4 7/9", rows.get(4), "increase since the previous round");
        assertEquals(Exit.FAILED, run("watch", "--count", "1", "127.0.0.1:1"));
    }
}
