import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Web servers that send the first part of a second refusal right behind some refusals. Bookings are keyed, and the web
 * servers of one zone drop a repeat; a booking that has run in two zones has run twice.
 */
final class HalfRefusal {
    public static void main(String[] args) {
        Rig.main(args, HalfRefusal::run);
    }

    static int run(Rig rig) throws Exception {
        Map<String, List<String>> ran = new ConcurrentHashMap<>();
        AtomicInteger spoilt = new AtomicInteger();
        AtomicInteger twice = new AtomicInteger();
        List<String> entries = new ArrayList<>();
        for (int i = 1; i <= 4; i++) {
            String name = "s-" + i;
            String zone = i <= 2 ? "split" : "zagreb";
            Random random = new Random(i);
            String entry = rig.new WebServer(name, (connection, request) -> {
                String txn = request.header("x-txn");
                boolean full;
                boolean spoil;
                double cutAt;
                synchronized (random) {
                    full = random.nextDouble() < 0.2;
                    spoil = random.nextDouble() < 0.3;
                    cutAt = random.nextDouble();
                }
                Thread.sleep(10);
                if (full) {
                    String refusal = "HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\n"
                            + "Date: Fri, 04 Dec 2026 06:00:00 GMT\r\nContent-Length: 4\r\n\r\nfull";
                    // A part of the head of a second one, of 1 character or more.
                    int headLength = refusal.indexOf("\r\n\r\n");
                    String surplus = Rig.TROUBLE && spoil ? refusal.substring(0, 1 + (int) (cutAt * headLength)) : "";
                    rig.log(name + "/" + connection.number + " turns away " + txn
                            + (surplus.isEmpty() ? "" : ", followed by " + surplus.length() + " bytes of a second answer"));
                    spoilt.addAndGet(surplus.isEmpty() ? 0 : 1);
                    connection.write(refusal + surplus);
                    return;
                }
                List<String> zones = ran.computeIfAbsent(txn, id -> new CopyOnWriteArrayList<>());
                boolean repeat = zones.contains(zone);
                boolean elsewhere = !zones.isEmpty() && !repeat;
                zones.add(zone);
                rig.log(name + "/" + connection.number + (repeat ? " drops the repeat of " : " runs ") + txn);
                if (elsewhere && request.startLine.contains("/book")) {
                    twice.incrementAndGet();
                    rig.say("BROKEN: book " + txn + " has run in the zones " + zones);
                }
                String body = "booked by " + txn;
                connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
            }).entry();
            entries.add(entry.replace("\"az\":\"split\"", "\"az\":\"" + zone + "\""));
        }
        String list = Rig.list(1, true, entries);
        Rig.Discovery discovery = rig.new Discovery("discovery", list);
        int port = Rig.freePort();
        String config = Rig.config(port, discovery.address(), 256, list)
                .replace("\"zones\":[\"split\"]", "\"zones\":[\"split\",\"zagreb\"]");
        Rig.Node node = rig.startNode("n1", port, discovery.address(), config);
        node.awaitReady();
        AtomicLong ids = new AtomicLong(0x5eed000000000000L);
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger ok = new AtomicInteger();
        long endMs = rig.ms() + 40_000;
        List<Thread> clients = new ArrayList<>();
        for (int c = 0; c < 8; c++) {
            clients.add(Rig.spawn("client-" + c, () -> {
                Rig.Client client = rig.new Client(port);
                while (rig.ms() < endMs) {
                    String txn = Long.toHexString(ids.incrementAndGet());
                    sent.incrementAndGet();
                    client.write(Rig.request("POST", "/book", txn, 600, "Idempotency-Key: k" + txn + "\r\n", 4) + "body");
                    Rig.Answer answer = client.readAnswer(rig.ms() + 1_500);
                    rig.log("client got for book " + txn + ": " + answer);
                    if (answer.status == 200) {
                        ok.incrementAndGet();
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
        rig.say("bookings: " + sent + " sent, " + ok + " answered 200, " + twice + " have run twice; spoilt answers: "
                + spoilt);
        if (ok.get() < sent.get() / 2 || (Rig.TROUBLE && spoilt.get() < 20)) {
            return Rig.COULD_NOT_RUN;
        }
        return twice.get() > 0 ? Rig.BROKEN : Rig.HELD;
    }
}
