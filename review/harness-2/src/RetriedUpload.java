import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Connections to web servers are reset under bookings that have begun and whose bodies are still on their way. With the
 * further argument `new-connections`, a trial that is no case: there is no other traffic, so that each attempt needs a new
 * connection, the bodies come faster, and the reset comes up to 4 ms after the head.
 */
public final class RetriedUpload {
    private static final int CLIENTS = 4;
    private static final int BODY_BYTES = 400_000;
    private static final int TIME_MS = 1_200;
    private static final int SLACK_MS = 50 + 500;
    private static final int LATE_MS = 2_000;

    private static boolean newConnections;
    private static int bookingsPerClient = 20;
    private static int pieceBytes = 40_000;
    private static int pieceIntervalMs = 15;

    public static void main(String[] args) {
        newConnections = args.length > 1 && args[1].equals("new-connections");
        if (newConnections) {
            bookingsPerClient = 60;
            pieceBytes = 48_000;
            pieceIntervalMs = 1;
        }
        Rig.main(args, RetriedUpload::run);
    }

    private static int run(Rig rig) throws Exception {
        AtomicInteger resets = new AtomicInteger();
        AtomicInteger ran = new AtomicInteger();
        Map<String, Boolean> seen = new ConcurrentHashMap<>();
        Rig.Discovery discovery = rig.own(new Rig.Discovery());
        for (int i = 0; i < 4; i++) {
            Rig.WebServer server = rig.own(new Rig.WebServer("s-" + i, 0, null) {
                @Override
                void serveOne(Rig.Connection connection) throws Exception {
                    Rig.Message request = Rig.Message.readRequestHead(connection.in);
                    String id = request.header("X-Txn");
                    boolean isBooking = request.method.equals("POST");
                    // The first attempt of every second booking.
                    if (rig.trouble && isBooking && seen.putIfAbsent(id, true) == null && resets.incrementAndGet() % 2 == 0) {
                        rig.note(uid + " resets the connection of booking " + id + ", whose body is still coming");
                        if (newConnections) {
                            Rig.sleepMs(ThreadLocalRandom.current().nextInt(5));
                        }
                        connection.socket.setSoLinger(true, 0);
                        connection.socket.close();
                    }
                    request.readBody(connection.in, false);
                    if (isBooking) {
                        ran.incrementAndGet();
                        rig.note(uid + " ran booking " + id);
                    }
                    Rig.sleepMs(10);
                    connection.answer(200, ("for " + id).getBytes(StandardCharsets.US_ASCII));
                }
            });
            discovery.put(new Rig.Entry(server.uid, server.address(), "split"));
        }
        String settings = Rig.settings(
                1,
                "\"split\"",
                true,
                Rig.classJson("search", 400, 400, "safe", "all", 0) + ","
                        + Rig.classJson("book", TIME_MS, TIME_MS, "keyed", "zone", 1200));
        Rig.Node node = rig.startNode("n1", discovery, settings, 384);
        // Ordinary traffic, so that there are resting connections to the web servers.
        boolean[] ended = {false};
        for (int i = 0; i < 8 && !newConnections; i++) {
            Rig.thread(() -> searchUntil(node, ended));
        }
        Rig.sleepMs(1_000);
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            threads.add(Rig.thread(() -> {
                for (int k = 0; k < bookingsPerClient; k++) {
                    book(rig, node, sent, answered, lost);
                }
            }));
            Rig.sleepMs(50);
        }
        for (Thread t : threads) {
            t.join(60_000);
        }
        ended[0] = true;
        Files.readString(node.log).lines().filter(l -> l.contains("no longer replayable")).forEach(rig::note);
        rig.say("bookings sent to their last byte " + sent + ", connections reset under their first attempt "
                + (resets.get() / 2) + ", bookings run " + ran + ", answered " + answered + ", lost " + lost);
        return lost.get() > 0 ? Rig.BROKEN : Rig.HELD;
    }

    private static void book(Rig rig, Rig.Node node, AtomicInteger sent, AtomicInteger answered, AtomicInteger lost) {
        String id = Rig.newId();
        try (Rig.Client client = new Rig.Client(node.address(), TIME_MS + SLACK_MS)) {
            client.write("POST /book/1 HTTP/1.1\r\nHost: backend.local\r\nX-Txn: " + id + "\r\nX-Remaining-Ms: "
                    + TIME_MS + "\r\nIdempotency-Key: k" + id + "\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n");
            for (int from = 0; from < BODY_BYTES; from += pieceBytes) {
                client.out.write(new byte[Math.min(pieceBytes, BODY_BYTES - from)]);
                Rig.sleepMs(pieceIntervalMs);
            }
            sent.incrementAndGet();
            rig.note("booking " + id + " is sent to its last byte");
            try {
                rig.note("booking " + id + " was answered with " + client.readAnswer().status);
                answered.incrementAndGet();
            } catch (SocketTimeoutException e) {
                lost.incrementAndGet();
                rig.note("LOST: booking " + id + " has no answer " + (TIME_MS + SLACK_MS) + " ms after its last byte");
                noteLateAnswer(rig, client, id);
            }
        } catch (IOException e) {
            rig.note("booking " + id + ": " + e);
        }
    }

    /** Waits on, only for the record: the request is lost already. */
    private static void noteLateAnswer(Rig rig, Rig.Client client, String id) throws IOException {
        client.socket.setSoTimeout(LATE_MS);
        try {
            rig.note("booking " + id + " was answered late with " + client.readAnswer().status);
        } catch (SocketTimeoutException e) {
            rig.note("booking " + id + " has no answer " + LATE_MS + " ms after that either");
        }
    }

    private static void searchUntil(Rig.Node node, boolean[] ended) {
        while (!ended[0]) {
            try (Rig.Client client = new Rig.Client(node.address(), 2_000)) {
                while (!ended[0]) {
                    client.write("GET /search/a HTTP/1.1\r\nHost: backend.local\r\nX-Txn: " + Rig.newId()
                            + "\r\nX-Remaining-Ms: 400\r\n\r\n");
                    client.readAnswer();
                    Rig.sleepMs(50);
                }
            } catch (IOException e) {
                Rig.sleepMs(50);
            }
        }
    }
}
