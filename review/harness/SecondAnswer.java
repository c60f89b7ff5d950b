import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Web servers whose second answers come some milliseconds late, and a node that is held up for up to 0.15 s. */
final class SecondAnswer {
    private static final int CLIENTS = 40;
    private static final double SPOILT_SHARE = 0.2;
    /** No second answer is sent later than this after the first one. */
    private static final long MAX_LATE_US = 8_000;

    private static final long HOLD_MS = 115;
    /** The pages' limit of a hold-up. */
    private static final long MAX_HOLD_MS = 150;

    public static void main(String[] args) {
        Rig.main(args, SecondAnswer::run);
    }

    static int run(Rig rig) throws Exception {
        Map<String, String> served = new ConcurrentHashMap<>();
        AtomicInteger spoilt = new AtomicInteger();
        AtomicLong latestUs = new AtomicLong();
        List<String> entries = new ArrayList<>();
        for (int i = 1; i <= 4; i++) {
            String name = "s-" + i;
            Random random = new Random(i);
            entries.add(rig.new WebServer(name, (connection, request) -> {
                String txn = request.header("x-txn");
                int work;
                int lateMs;
                boolean spoil;
                synchronized (random) {
                    work = 5 + random.nextInt(20);
                    lateMs = 1 + random.nextInt(6);
                    spoil = random.nextDouble() < SPOILT_SHARE;
                }
                Thread.sleep(work);
                String body = "result of " + txn + " by " + name;
                served.put(txn, body);
                rig.log(name + "/" + connection.number + " runs " + txn + " and answers 200");
                connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
                if (!Rig.TROUBLE || !spoil) {
                    return;
                }
                long answeredNs = System.nanoTime();
                Thread.sleep(lateMs);
                if ((System.nanoTime() - answeredNs) / 1_000 > MAX_LATE_US) {
                    return;
                }
                String second = "second answer to " + txn + " by " + name;
                connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + second.length() + "\r\n\r\n" + second);
                long lateUs = (System.nanoTime() - answeredNs) / 1_000;
                latestUs.accumulateAndGet(lateUs, Math::max);
                spoilt.incrementAndGet();
                rig.log(name + "/" + connection.number + " has sent a second answer to " + txn + ", " + lateUs
                        + " us after the first");
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
        long endMs = rig.ms() + 90_000;
        List<Thread> clients = new ArrayList<>();
        for (int c = 0; c < CLIENTS; c++) {
            Random random = new Random(100 + c);
            clients.add(Rig.spawn("client-" + c, () -> {
                Rig.Client client = rig.new Client(port);
                while (rig.ms() < endMs) {
                    String txn = Long.toHexString(ids.incrementAndGet());
                    sent.incrementAndGet();
                    client.write(Rig.request("GET", "/search", txn, 400, "", 0));
                    Rig.Answer answer = client.readAnswer(rig.ms() + 1_500);
                    if (answer.status == 200) {
                        ok.incrementAndGet();
                        if (!answer.body.equals(served.get(txn))) {
                            broken.incrementAndGet();
                            rig.say("BROKEN: search " + txn + " was answered 200 \"" + answer.body
                                    + "\"; web servers' 200 answer: " + served.get(txn));
                        }
                    } else {
                        rig.log("client got for search " + txn + ": " + answer);
                    }
                    if (!answer.end.equals("whole")) {
                        client.close();
                        client = rig.new Client(port);
                    }
                    Thread.sleep(random.nextInt(20));
                }
                client.close();
            }));
        }
        int holds = 0;
        long longestMs = 0;
        while (Rig.TROUBLE && rig.ms() < endMs - 1_000) {
            Thread.sleep(250);
            long stopMs = rig.ms();
            node.signal("STOP");
            Thread.sleep(HOLD_MS);
            node.signal("CONT");
            longestMs = Math.max(longestMs, rig.ms() - stopMs);
            holds++;
            rig.log("node was held up for at most " + (rig.ms() - stopMs) + " ms");
        }
        Rig.joinAll(clients);
        rig.say("sent " + sent + ", answered 200: " + ok + ", second answers: " + spoilt + " (at most " + latestUs
                + " us late), hold-ups: " + holds + " (at most " + longestMs + " ms), wrong 200 answers: " + broken);
        if (ok.get() < sent.get() / 2 || longestMs > MAX_HOLD_MS || (Rig.TROUBLE && spoilt.get() < 100)) {
            return Rig.COULD_NOT_RUN;
        }
        return broken.get() > 0 ? Rig.BROKEN : Rig.HELD;
    }
}
