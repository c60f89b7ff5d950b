import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Faults that were seen and are no cases: java -cp review/target Probes ROOT FOLDER NAME, with NAME stalled-uploads or
 * endless-answers. Exit code and TROUBLE are those of the cases.
 */
final class Probes {
    private static final int REMAINING_MS = 300;
    private static final int SLACK_MS = 50 + 500;

    private final Rig rig;
    private final AtomicLong ids = new AtomicLong(0x5eed000000000000L);
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger ok = new AtomicInteger();
    private final AtomicInteger other = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private int port;

    private Probes(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] args) {
        Rig.main(args, rig -> {
            Probes probes = new Probes(rig);
            return switch (args[2]) {
                case "stalled-uploads" -> probes.stalledUploads();
                case "endless-answers" -> probes.endlessAnswers();
                default -> Rig.COULD_NOT_RUN;
            };
        });
    }

    private void start(int sockets, Rig.Handler handler) throws Exception {
        List<String> entries = new ArrayList<>();
        for (int i = 1; i <= 4; i++) {
            entries.add(rig.new WebServer("s-" + i, handler).entry());
        }
        String list = Rig.list(1, true, entries);
        Rig.Discovery discovery = rig.new Discovery("discovery", list);
        port = Rig.freePort();
        rig.startNode("n1", port, discovery.address(), Rig.config(port, discovery.address(), sockets, list))
                .awaitReady();
    }

    private String nextId() {
        return Long.toHexString(ids.incrementAndGet());
    }

    private static void answer(Rig.ServerConnection connection, Rig.Message request) throws Exception {
        Thread.sleep(10);
        String body = "result of " + request.header("x-txn");
        connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }

    /** Sends short requests, each on a new connection, until the time. */
    private List<Thread> startClients(long endMs) {
        List<Thread> threads = new ArrayList<>();
        for (int c = 0; c < 4; c++) {
            threads.add(Rig.spawn("client-" + c, () -> {
                while (rig.ms() < endMs) {
                    String txn = nextId();
                    try (Rig.Client client = rig.new Client(port)) {
                        client.write(Rig.request("GET", "/search", txn, REMAINING_MS, "", 0));
                        long sentMs = rig.ms();
                        sent.incrementAndGet();
                        Rig.Answer answer = client.readAnswer(sentMs + REMAINING_MS + SLACK_MS);
                        String line = "search " + txn + ": " + answer + " after " + (answer.atMs - sentMs) + " ms";
                        if (answer.status == 200) {
                            ok.incrementAndGet();
                            rig.log(line);
                        } else if (answer.end.equals("none") && answer.bodyBytes <= 64 * 1024) {
                            lost.incrementAndGet();
                            rig.say("LOST: no final answer to " + line);
                        } else {
                            other.incrementAndGet();
                            rig.say("other answer to " + line);
                        }
                    }
                    Thread.sleep(100);
                }
            }));
        }
        return threads;
    }

    private int report(List<Thread> clients) throws Exception {
        Rig.joinAll(clients);
        rig.say("short requests: " + sent + " sent, " + ok + " answered 200, " + other + " otherwise, " + lost + " lost");
        return lost.get() > 0 ? Rig.BROKEN : Rig.HELD;
    }

    /** 100 bad clients (256 descriptors, so a third are 85) stop in the middle of a body of 200 kB, and stay. */
    private int stalledUploads() throws Exception {
        int sockets = 256;
        start(sockets, Probes::answer);
        List<Thread> clients = startClients(rig.ms() + 15_000);
        Thread.sleep(5_000);
        for (int b = 0; Rig.TROUBLE && b < 100; b++) {
            Thread.sleep(5);
            Rig.spawn("bad-" + b, () -> {
                try (Rig.Client client = rig.new Client(port)) {
                    long startMs = rig.ms();
                    String key = "Idempotency-Key: k" + startMs + "\r\n";
                    client.write(Rig.request("POST", "/book", nextId(), 600, key, 200_000) + "x".repeat(100_000));
                    Rig.Answer answer = client.readAnswer(rig.ms() + 10_000);
                    rig.log("bad client: " + answer + " after " + (answer.atMs - startMs) + " ms");
                }
            });
        }
        return report(clients);
    }

    /** One answer in twenty has no length and no end, at 32 kB a second. */
    private int endlessAnswers() throws Exception {
        Random random = new Random(1);
        start(256, (connection, request) -> {
            boolean endless;
            synchronized (random) {
                endless = Rig.TROUBLE && random.nextDouble() < 0.05;
            }
            String piece = "640\r\n" + "x".repeat(0x640) + "\r\n";
            connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + piece);
            while (endless) {
                Thread.sleep(50);
                connection.write(piece);
            }
            connection.write("0\r\n\r\n");
        });
        return report(startClients(rig.ms() + 20_000));
    }
}
