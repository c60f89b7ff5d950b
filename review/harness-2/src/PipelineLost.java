import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A client sends four bookings of 60,000 bytes at once on one connection. */
public final class PipelineLost {
    private static final int AT_ONCE = 4;
    private static final int BYTES = 60_000;
    private static final int TIME_MS = 2_000;
    private static final int SLACK_MS = 50 + 500;
    private static final int ROUNDS = 10;

    public static void main(String[] args) {
        Rig.main(args, PipelineLost::run);
    }

    private static int run(Rig rig) throws Exception {
        AtomicInteger ran = new AtomicInteger();
        Rig.Discovery discovery = rig.own(new Rig.Discovery());
        for (int i = 0; i < 4; i++) {
            Rig.WebServer server = rig.own(new Rig.WebServer("s-" + i, 0, (request, connection) -> {
                Rig.sleepMs(10);
                ran.incrementAndGet();
                rig.note(connection.server.uid + " ran " + request.header("X-Txn"));
                connection.answer(200, ("for " + request.header("X-Txn")).getBytes(StandardCharsets.US_ASCII));
            }));
            discovery.put(new Rig.Entry(server.uid, server.address(), "split"));
        }
        String settings =
                Rig.settings(1, "\"split\"", true, Rig.classJson("book", TIME_MS, TIME_MS, "keyed", "zone", 1200));
        Rig.Node node = rig.startNode("n1", discovery, settings, 384);
        int sent = 0;
        int answered = 0;
        int lost = 0;
        for (int round = 0; round < ROUNDS; round++) {
            List<String> ids = new ArrayList<>();
            List<byte[]> bookings = new ArrayList<>();
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            for (int i = 0; i < AT_ONCE; i++) {
                String id = Rig.newId();
                ByteArrayOutputStream one = new ByteArrayOutputStream();
                one.write(("POST /book/1 HTTP/1.1\r\nHost: backend.local\r\nX-Txn: " + id + "\r\nX-Remaining-Ms: "
                                + TIME_MS + "\r\nIdempotency-Key: k" + id + "\r\nContent-Length: " + BYTES + "\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
                one.write(new byte[BYTES]);
                ids.add(id);
                bookings.add(one.toByteArray());
                all.write(one.toByteArray());
            }
            try (Rig.Client client = new Rig.Client(node.address(), TIME_MS + SLACK_MS)) {
                int got = 0;
                try {
                    if (rig.trouble) {
                        client.out.write(all.toByteArray());
                        rig.note("the requests " + ids + " are sent, to their last byte");
                        sent += AT_ONCE;
                    }
                    for (int i = 0; i < AT_ONCE; i++) {
                        if (!rig.trouble) {
                            client.out.write(bookings.get(i));
                            rig.note("request " + ids.get(i) + " is sent");
                            sent++;
                        }
                        Rig.Message answer = client.readAnswer();
                        rig.note("request " + ids.get(i) + " was answered with " + answer.status + ", Connection: "
                                + answer.header("Connection"));
                        got++;
                    }
                } catch (java.io.EOFException e) {
                    // An orderly end. Had the node left bytes unread, its close would have reset the connection.
                    lost += AT_ONCE - got;
                    rig.note("LOST: the node has ended the connection in order, without an answer to "
                            + ids.subList(got, AT_ONCE));
                } catch (IOException e) {
                    // After a reset, it is not certain that the node has read the requests: not counted.
                    rig.note("not counted: " + e);
                }
                answered += got;
            }
        }
        rig.say("bookings sent " + sent + ", run " + ran + ", answered " + answered + ", lost " + lost);
        return lost > 0 ? Rig.BROKEN : Rig.HELD;
    }
}
