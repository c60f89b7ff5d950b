import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients leave after their whole request, while a web server pauses in the middle of reading it. */
public final class CutBody {
    private static final int SERVER_PAUSE_MS = 400;
    private static final int LEAVE_AFTER_MS = 120;
    private static final int ROUNDS = 3;

    public static void main(String[] args) {
        Rig.main(args, CutBody::run);
    }

    private static int run(Rig rig) throws Exception {
        Map<String, byte[]> sent = new ConcurrentHashMap<>();
        AtomicInteger whole = new AtomicInteger();
        AtomicInteger cut = new AtomicInteger();
        Rig.Discovery discovery = rig.own(new Rig.Discovery());
        for (int i = 0; i < 4; i++) {
            Rig.WebServer server = rig.own(new Rig.WebServer("s-" + i, 32 * 1024, null) {
                @Override
                void serveOne(Rig.Connection connection) throws Exception {
                    Rig.Message request = Rig.Message.readRequestHead(connection.in);
                    if (rig.trouble) {
                        Rig.sleepMs(SERVER_PAUSE_MS);
                    }
                    request.readBody(connection.in, false);
                    String id = request.header("X-Txn");
                    byte[] body = sent.get(id);
                    boolean isWhole = Arrays.equals(request.body, body);
                    (isWhole ? whole : cut).incrementAndGet();
                    rig.note((isWhole ? "" : "CUT: ") + uid + " ran ingest request " + id + " with " + request.body.length
                            + " bytes of body; its client sent " + body.length);
                    connection.answer(200, ("for " + id).getBytes(StandardCharsets.US_ASCII));
                }
            });
            discovery.put(new Rig.Entry(server.uid, server.address(), "stack-1"));
        }
        // Classes and permissions of the deployment `archive` (deploy/sites/archive).
        String settings = Rig.settings(
                1,
                "\"stack-1\"",
                false,
                Rig.classJson("lookup", 500, 1200, "safe", "all", 0) + ","
                        + Rig.classJson("ingest", 600, 1500, "unsafe", "all", 0));
        Rig.Node node = rig.startNode("n1", discovery, settings, 384);
        AtomicInteger served = new AtomicInteger();
        for (int round = 0; round < ROUNDS; round++) {
            List<Thread> threads = new ArrayList<>();
            for (int kb = 160; kb <= 1000; kb += 24) {
                byte[] body = new byte[kb * 1024];
                Arrays.fill(body, (byte) ('a' + round));
                threads.add(Rig.thread(() -> {
                    if (ingest(rig, node, sent, body)) {
                        served.incrementAndGet();
                    }
                }));
                Rig.sleepMs(60);
            }
            for (Thread t : threads) {
                t.join(8_000);
            }
            Rig.sleepMs(1_500);
        }
        rig.say("ingest requests sent " + sent.size() + ", answered with 200 " + served + ", run with the whole body " + whole
                + ", run with a part of the body " + cut);
        return cut.get() > 0 ? Rig.BROKEN : Rig.HELD;
    }

    private static boolean ingest(Rig rig, Rig.Node node, Map<String, byte[]> sent, byte[] body) {
        String id = Rig.newId();
        sent.put(id, body);
        try (Rig.Client client = new Rig.Client(node.address(), 4_000)) {
            client.write("POST /ingest/1 HTTP/1.1\r\nHost: backend.local\r\nX-Txn: " + id
                    + "\r\nX-Remaining-Ms: 1500\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (int from = 0; from < body.length; from += 8192) {
                client.write("2000\r\n");
                client.out.write(body, from, 8192);
                client.write("\r\n");
            }
            client.write("0\r\n\r\n");
            if (rig.trouble) {
                Rig.sleepMs(LEAVE_AFTER_MS);
                rig.note("the client of ingest request " + id + " has sent all and leaves");
                return false;
            }
            Rig.Message answer = client.readAnswer();
            rig.note("ingest request " + id + " was answered with " + answer.status);
            return answer.status == 200;
        } catch (IOException e) {
            rig.note("ingest request " + id + ": " + e);
            return false;
        }
    }
}
