import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients leave in the middle of long bookings, sixteen in a second, while others send short requests. */
public final class LeftUploads {
    private static final int SOCKETS = 256;
    /** Web servers close a connection on which nothing has come for this time. */
    private static final int IDLE_MS = 30_000;
    private static final int UPLOADS = 360;
    private static final int UPLOAD_BYTES = 300_000;
    private static final int SENT_BEFORE_LEAVING = 100_000;
    private static final int UPLOADS_AT_ONCE = 2;
    private static final int UPLOAD_INTERVAL_MS = 150;
    private static final int SEARCHES_AT_ONCE = 5;
    private static final int SEARCH_INTERVAL_MS = 500;
    private static final int KEPT_MS = 300;
    private static final long RUN_S = 28;
    private static final int TIME_MS = 400;
    private static final int SLACK_MS = 50 + 500;

    public static void main(String[] args) {
        Rig.main(args, LeftUploads::run);
    }

    private static int run(Rig rig) throws Exception {
        Rig.Discovery discovery = rig.own(new Rig.Discovery());
        List<Rig.WebServer> servers = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            Rig.WebServer server = rig.own(new Rig.WebServer("s-" + i, 0, null) {
                @Override
                void serveOne(Rig.Connection connection) throws Exception {
                    connection.socket.setSoTimeout(IDLE_MS);
                    Rig.Message request = Rig.Message.readRequest(connection.in);
                    rig.note(uid + " ran " + request.header("X-Txn"));
                    Rig.sleepMs(10);
                    connection.answer(200, ("for " + request.header("X-Txn")).getBytes(StandardCharsets.US_ASCII));
                }

                @Override
                void onEnd(Exception cause) {
                    rig.note(uid + " sees the end of a connection: " + cause);
                }
            });
            servers.add(server);
            discovery.put(new Rig.Entry(server.uid, server.address(), "split"));
        }
        String settings = Rig.settings(
                        1,
                        "\"split\"",
                        false,
                        Rig.classJson("search", TIME_MS, TIME_MS, "safe", "all", 0) + ","
                                + Rig.classJson("book", 1200, 1200, "keyed", "zone", 1200))
                .replace("\"connIdleUs\":10000000", "\"connIdleUs\":" + IDLE_MS * 1_000);
        Rig.Node node = rig.startNode("n1", discovery, settings, SOCKETS);
        AtomicInteger left = new AtomicInteger();
        AtomicInteger booked = new AtomicInteger();
        Rig.thread(() -> {
            for (int i = 0; i < UPLOADS; i++) {
                Rig.thread(() -> upload(rig, node, left, booked));
                if (i % UPLOADS_AT_ONCE == 0) {
                    Rig.sleepMs(UPLOAD_INTERVAL_MS);
                }
            }
        });
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        long endNs = System.nanoTime() + RUN_S * 1_000_000_000L;
        List<Thread> threads = new java.util.concurrent.CopyOnWriteArrayList<>();
        Rig.thread(() -> {
            while (System.nanoTime() < endNs) {
                for (int i = 0; i < SEARCHES_AT_ONCE; i++) {
                    threads.add(Rig.thread(() -> search(rig, node, answered, lost)));
                }
                Rig.sleepMs(SEARCH_INTERVAL_MS);
            }
        });
        while (System.nanoTime() < endNs) {
            rig.note("connections open at the web servers: "
                    + servers.stream().mapToInt(s -> s.open.size()).sum());
            Rig.sleepMs(1_000);
        }
        for (Thread t : threads) {
            t.join(5_000);
        }
        rig.say("clients that left in a booking " + left + ", bookings answered " + booked + ", short requests answered in time and " + SLACK_MS + " ms " + answered + ", lost " + lost);
        return lost.get() > 0 ? Rig.BROKEN : Rig.HELD;
    }

    private static void upload(Rig rig, Rig.Node node, AtomicInteger left, AtomicInteger booked) {
        String id = Rig.newId();
        try (Rig.Client client = new Rig.Client(node.address(), 4_000)) {
            client.write("POST /book/1 HTTP/1.1\r\nHost: backend.local\r\nX-Txn: " + id + "\r\nX-Remaining-Ms: 1200\r\n"
                    + "Idempotency-Key: k" + id + "\r\nContent-Length: " + UPLOAD_BYTES + "\r\n\r\n");
            client.out.write(new byte[rig.trouble ? SENT_BEFORE_LEAVING : UPLOAD_BYTES]);
            if (rig.trouble) {
                Rig.sleepMs(50);
                left.incrementAndGet();
                rig.note("the client of booking " + id + " leaves after " + SENT_BEFORE_LEAVING + " of " + UPLOAD_BYTES
                        + " bytes");
            } else {
                rig.note("booking " + id + " was answered with " + client.readAnswer().status);
                booked.incrementAndGet();
            }
        } catch (IOException e) {
            rig.note("booking " + id + ": " + e);
        }
    }

    /** A client that keeps its connection for a while. */
    private static void search(Rig rig, Rig.Node node, AtomicInteger answered, AtomicInteger lost) {
        String id = Rig.newId();
        boolean sent = false;
        // Where the node closes the connection on which the request is sent, it is sent once more on a new one.
        for (int tries = 0; tries < 2; tries++) {
            try (Rig.Client client = new Rig.Client(node.address(), TIME_MS + SLACK_MS)) {
                client.write("GET /search/a HTTP/1.1\r\nHost: backend.local\r\nX-Txn: " + id + "\r\nX-Remaining-Ms: "
                        + TIME_MS + "\r\n\r\n");
                sent = true;
                rig.note("request " + id + " is sent");
                int status = client.readAnswer().status;
                rig.note("request " + id + " was answered with " + status);
                answered.incrementAndGet();
                Rig.sleepMs(KEPT_MS);
                return;
            } catch (SocketTimeoutException e) {
                if (sent) {
                    lost.incrementAndGet();
                }
                rig.note((sent ? "LOST: " : "") + "request " + id + (sent
                        ? " has no answer " + (TIME_MS + SLACK_MS) + " ms after it was sent" : " could not be sent"));
                return;
            } catch (IOException e) {
                rig.note("the connection of request " + id + " has ended: " + e);
            }
        }
    }
}
