import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** A second answer comes some milliseconds late, while the node is held up for a moment. */
public final class ForeignAnswer {
    private static final int CLIENTS = 16;
    private static final int SERVERS = 3;
    private static final double SPOILT_SHARE = 0.3;
    private static final long LATE_MS = 4;
    /** A second answer that would come later than this, because the machine is busy, is not sent. */
    private static final long MAX_LATE_MS = 7;
    private static final long HOLD_MS = 60;
    private static final long MAX_HOLD_MS = 150;
    private static final long RUN_S = 80;
    private static final int TIME_MS = 1_000;

    private record Foreign(double atS, String text) {}

    private record TooLongHold(double fromS, double toS) {}

    public static void main(String[] args) {
        Rig.main(args, ForeignAnswer::run);
    }

    private static int run(Rig rig) throws Exception {
        AtomicInteger spoilt = new AtomicInteger();
        Random random = new Random(7);
        Rig.Discovery discovery = rig.own(new Rig.Discovery());
        for (int i = 0; i < SERVERS; i++) {
            Rig.WebServer server = rig.own(new Rig.WebServer("s-" + i, 0, (request, connection) -> {
                Rig.sleepMs(8 + random.nextInt(10));
                byte[] body = ("for " + request.header("X-Txn")).getBytes(StandardCharsets.US_ASCII);
                long startNs = System.nanoTime();
                rig.note(connection.server.uid + " ran and answers " + request.header("X-Txn"));
                connection.answer(200, body);
                if (rig.trouble && random.nextDouble() < SPOILT_SHARE) {
                    Rig.sleepMs(LATE_MS);
                    if (Rig.elapsedMs(startNs) < MAX_LATE_MS) {
                        connection.answer(200, body);
                        spoilt.incrementAndGet();
                        rig.note(connection.server.uid + " has answered " + request.header("X-Txn") + " again");
                    }
                }
            }));
            discovery.put(new Rig.Entry(server.uid, server.address(), "split"));
        }
        String settings =
                Rig.settings(4, "\"split\"", true, Rig.classJson("search", TIME_MS, TIME_MS, "safe", "all", 0));
        Rig.Node node = rig.startNode("n1", discovery, settings, 384);

        AtomicInteger served = new AtomicInteger();
        AtomicInteger others = new AtomicInteger();
        Queue<Foreign> foreign = new ConcurrentLinkedQueue<>();
        long endNs = System.nanoTime() + RUN_S * 1_000_000_000L;
        List<Thread> threads = new ArrayList<>();
        for (int c = 0; c < CLIENTS; c++) {
            threads.add(Rig.thread(() -> {
                while (System.nanoTime() < endNs) {
                    try (Rig.Client client = new Rig.Client(node.address(), 5_000)) {
                        while (System.nanoTime() < endNs) {
                            ask(rig, client, served, others, foreign);
                            Rig.sleepMs(random.nextInt(20));
                        }
                    } catch (IOException e) {
                        rig.note("a client's connection has ended: " + e);
                    }
                }
            }));
        }
        List<TooLongHold> tooLong = new ArrayList<>();
        int holds = 0;
        while (rig.trouble && System.nanoTime() < endNs) {
            Rig.sleepMs(250);
            double fromS = rig.seconds();
            long heldMs = node.holdUp(HOLD_MS);
            holds++;
            rig.note("the node was held up for " + heldMs + " ms at most");
            if (heldMs > MAX_HOLD_MS) {
                tooLong.add(new TooLongHold(fromS, rig.seconds() + 0.3));
            }
        }
        for (Thread t : threads) {
            t.join(RUN_S * 1_000 + 6_000);
        }
        long counted = foreign.stream()
                .filter(f -> tooLong.stream().noneMatch(h -> f.atS >= h.fromS && f.atS <= h.toS))
                .count();
        rig.say("served " + served + ", other answers " + others + ", 200 with the answer to another request "
                + foreign.size() + " (" + counted + " of them not after a hold of over " + MAX_HOLD_MS
                + " ms), second answers " + spoilt + ", holds " + holds);
        return counted > 0 ? Rig.BROKEN : Rig.HELD;
    }

    private static void ask(
            Rig rig, Rig.Client client, AtomicInteger served, AtomicInteger others, Queue<Foreign> foreign)
            throws IOException {
        String id = Rig.newId();
        rig.note("request " + id + " is sent");
        client.write("GET /search/a HTTP/1.1\r\nHost: backend.local\r\nX-Txn: " + id + "\r\nX-Remaining-Ms: " + TIME_MS
                + "\r\n\r\n");
        Rig.Message answer = client.readAnswer();
        String text = answer.text();
        if (answer.status != 200) {
            others.incrementAndGet();
            rig.note("request " + id + " was answered with " + answer.status);
        } else if (text.equals("for " + id)) {
            served.incrementAndGet();
            rig.note("request " + id + " was served");
        } else {
            foreign.add(new Foreign(rig.seconds(), text));
            rig.note("FOREIGN: request " + id + " was answered with 200 and \"" + text + "\"");
        }
    }
}
