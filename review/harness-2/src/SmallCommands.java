import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/** Ninety clients send 32 KiB of small commands at once, while others send ordinary requests. */
public final class SmallCommands {
    private static final int SOCKETS = 384;
    private static final int BAD_CLIENTS = 90;
    private static final int BYTES_AT_ONCE = 32 * 1024;
    private static final int BOOKING_BYTES = 60_000;
    private static final int TIME_MS = 400;
    /** The slack of a time limit on sockets, and the time after which a missing answer is lost. */
    private static final int SLACK_MS = 50 + 500;

    public static void main(String[] args) {
        Rig.main(args, SmallCommands::run);
    }

    private static int run(Rig rig) throws Exception {
        Rig.Discovery discovery = rig.own(new Rig.Discovery());
        for (int i = 0; i < 4; i++) {
            Rig.WebServer server = rig.own(new Rig.WebServer("s-" + i, 0, (request, connection) -> {
                Rig.sleepMs(10);
                rig.note(connection.server.uid + " ran " + request.header("X-Txn"));
                connection.answer(200, ("for " + request.header("X-Txn")).getBytes(StandardCharsets.US_ASCII));
            }));
            discovery.put(new Rig.Entry(server.uid, server.address(), "split"));
        }
        String settings = Rig.settings(
                1,
                "\"split\"",
                true,
                Rig.classJson("search", TIME_MS, TIME_MS, "safe", "all", 0) + ","
                        + Rig.classJson("book", 1200, 1200, "keyed", "zone", 1200));
        Rig.Node node = rig.startNode("n1", discovery, settings, SOCKETS);

        CountDownLatch go = new CountDownLatch(1);
        AtomicInteger errors = new AtomicInteger();
        for (int i = 0; i < BAD_CLIENTS; i++) {
            int number = i;
            Rig.thread(() -> sendMuch(rig, node, number, go, errors));
            Rig.sleepMs(20);
        }
        Rig.sleepMs(1_500);
        if (rig.trouble) {
            rig.note(BAD_CLIENTS + " clients send " + BYTES_AT_ONCE + " bytes of small commands each");
            go.countDown();
        }
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < 400 && node.process.isAlive(); i++) {
            threads.add(Rig.thread(() -> search(rig, node, answered, lost)));
            Rig.sleepMs(100);
        }
        for (Thread t : threads) {
            t.join(2_000);
        }
        boolean crashed = !node.process.isAlive();
        if (crashed) {
            rig.note("the node has ended with exit code " + node.process.exitValue() + "; its log:\n"
                    + Files.readString(node.log));
        }
        rig.say("ordinary requests " + threads.size() + ", answered in time and " + SLACK_MS + " ms " + answered
                + ", lost " + lost + ", small commands answered " + errors + ", node crashed " + crashed);
        return crashed || lost.get() > 0 ? Rig.BROKEN : Rig.HELD;
    }

    /** Two proper bookings, one after the other, and then the small commands. */
    private static void sendMuch(Rig rig, Rig.Node node, int number, CountDownLatch go, AtomicInteger errors) {
        int got = 0;
        try (Rig.Client client = new Rig.Client(node.address(), 60_000)) {
            for (int i = 0; i < 2; i++) {
                String id = Rig.newId();
                client.write("POST /book/1 HTTP/1.1\r\nHost: backend.local\r\nX-Txn: " + id
                        + "\r\nX-Remaining-Ms: 1200\r\nIdempotency-Key: k" + id + "\r\nContent-Length: "
                        + BOOKING_BYTES + "\r\n\r\n");
                client.out.write(new byte[BOOKING_BYTES]);
                rig.note("booking " + id + " was answered with " + client.readAnswer().status);
            }
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            while (all.size() < BYTES_AT_ONCE) {
                all.write("GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            }
            go.await();
            client.out.write(all.toByteArray());
            while (true) {
                client.readAnswer();
                got++;
                errors.incrementAndGet();
            }
        } catch (IOException | InterruptedException e) {
            rig.note("bad client " + number + " got " + got + " answers, then " + e);
        }
    }

    private static void search(Rig rig, Rig.Node node, AtomicInteger answered, AtomicInteger lost) {
        String id = Rig.newId();
        boolean sent = false;
        try (Rig.Client client = new Rig.Client(node.address(), TIME_MS + SLACK_MS)) {
            client.write("GET /search/a HTTP/1.1\r\nHost: backend.local\r\nX-Txn: " + id + "\r\nX-Remaining-Ms: "
                    + TIME_MS + "\r\n\r\n");
            sent = true;
            rig.note("request " + id + " was answered with " + client.readAnswer().status);
            answered.incrementAndGet();
        } catch (SocketTimeoutException e) {
            if (sent) {
                lost.incrementAndGet();
            }
            rig.note("request " + id + (sent ? " has no answer " + (TIME_MS + SLACK_MS) + " ms after it was sent"
                    : " could not be sent"));
        } catch (IOException e) {
            // The node has died: its clients see that, and the crash is counted.
            rig.note("request " + id + ": " + e);
        }
    }
}
