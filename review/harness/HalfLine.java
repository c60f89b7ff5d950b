import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Web servers that send a part of a second status line right after some answers. */
final class HalfLine {
    private static final String STATUS_LINE = "HTTP/1.1 200 OK";

    public static void main(String[] args) {
        Rig.main(args, HalfLine::run);
    }

    static int run(Rig rig) throws Exception {
        Map<String, String> served = new ConcurrentHashMap<>();
        Map<String, String> turnedAway = new ConcurrentHashMap<>();
        AtomicInteger spoilt = new AtomicInteger();
        List<String> entries = new ArrayList<>();
        for (int i = 1; i <= 4; i++) {
            String name = "s-" + i;
            Random random = new Random(i);
            entries.add(rig.new WebServer(name, (connection, request) -> {
                String txn = request.header("x-txn");
                double full;
                double spoil;
                int cut;
                synchronized (random) {
                    full = random.nextDouble();
                    spoil = random.nextDouble();
                    cut = 1 + random.nextInt(STATUS_LINE.length());
                }
                Thread.sleep(10);
                if (full < 0.2) {
                    String body = "queue full, " + txn + " has not run";
                    turnedAway.put(txn, name);
                    rig.log(name + "/" + connection.number + " turns away " + txn);
                    connection.write("HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: "
                            + body.length() + "\r\n\r\n" + body);
                    return;
                }
                String body = "result of " + txn + " by " + name;
                served.put(txn, body);
                String surplus = "";
                if (Rig.TROUBLE && spoil < 0.1) {
                    surplus = STATUS_LINE.substring(0, cut);
                    spoilt.incrementAndGet();
                }
                rig.log(name + "/" + connection.number + " runs " + txn + " and answers 200"
                        + (surplus.isEmpty() ? "" : ", followed by \"" + surplus + "\""));
                connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body + surplus);
            }).entry());
        }
        String list = Rig.list(1, true, entries);
        Rig.Discovery discovery = rig.new Discovery("discovery", list);
        int port = Rig.freePort();
        Rig.Node node = rig.startNode("n1", port, discovery.address(), Rig.config(port, discovery.address(), 256, list));
        node.awaitReady();

        AtomicLong ids = new AtomicLong(0x5eed000000000000L);
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger ok = new AtomicInteger();
        AtomicInteger broken = new AtomicInteger();
        long endMs = rig.ms() + 30_000;
        List<Thread> clients = new ArrayList<>();
        for (int c = 0; c < 6; c++) {
            boolean books = c < 2;
            clients.add(Rig.spawn("client-" + c, () -> {
                Rig.Client client = rig.new Client(port);
                while (rig.ms() < endMs) {
                    String txn = Long.toHexString(ids.incrementAndGet());
                    sent.incrementAndGet();
                    client.write(books
                            ? Rig.request("POST", "/book", txn, 600, "Idempotency-Key: k" + txn + "\r\n", 4) + "body"
                            : Rig.request("GET", "/search", txn, 300, "", 0));
                    Rig.Answer answer = client.readAnswer(rig.ms() + 1_500);
                    rig.log("client got for " + (books ? "book " : "search ") + txn + ": " + answer + " \""
                            + answer.body.trim() + "\"");
                    if (answer.status == 200) {
                        ok.incrementAndGet();
                        if (!answer.body.equals(served.get(txn))) {
                            broken.incrementAndGet();
                            rig.say("BROKEN: " + (books ? "book " : "search ") + txn + " was answered 200 \"" + answer.body
                                    + "\"; web servers' 200 answer: " + served.get(txn) + "; turned away by "
                                    + turnedAway.get(txn));
                        }
                    }
                    if (!answer.end.equals("whole")) {
                        client.close();
                        client = rig.new Client(port);
                    }
                    Thread.sleep(20);
                }
                client.close();
            }));
        }
        Rig.joinAll(clients);
        rig.say("sent " + sent + ", answered 200: " + ok + ", spoilt answers: " + spoilt + ", wrong 200 answers: " + broken);
        if (ok.get() < sent.get() / 2 || (Rig.TROUBLE && spoilt.get() < 20)) {
            return Rig.COULD_NOT_RUN;
        }
        return broken.get() > 0 ? Rig.BROKEN : Rig.HELD;
    }
}
