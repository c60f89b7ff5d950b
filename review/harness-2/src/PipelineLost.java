import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A client sends four bookings of 60,000 bytes at once on one connection: in the even rounds alone, in the odd rounds
 * while the long answer to an earlier request is coming.
 */
public final class PipelineLost {
    private static final int AT_ONCE = 4;
    private static final int BYTES = 60_000;
    private static final int TIME_MS = 2_000;
    private static final int SLACK_MS = 50 + 500;
    private static final int ROUNDS = 10;
    private static final int LONG_ANSWER_BYTES = 1_000_000;
    private static final int PIECE_BYTES = 50_000;
    private static final int PIECE_INTERVAL_MS = 15;

    private record Booking(String id, byte[] bytes) {}

    /** The numbers of one run. */
    private static final class Totals {
        int sent;
        int answered;
        int lostWithEnd;
        int lostInSilence;
    }

    public static void main(String[] args) {
        Rig.main(args, PipelineLost::run);
    }

    private static int run(Rig rig) throws Exception {
        AtomicInteger ran = new AtomicInteger();
        Rig.Discovery discovery = rig.own(new Rig.Discovery());
        for (int i = 0; i < 4; i++) {
            Rig.WebServer server = rig.own(new Rig.WebServer("s-" + i, 0, (request, connection) -> {
                rig.note(connection.server.uid + " ran " + request.header("X-Txn"));
                if (request.target.startsWith("/photos")) {
                    answerLong(connection);
                    return;
                }
                ran.incrementAndGet();
                Rig.sleepMs(10);
                connection.answer(200, ("for " + request.header("X-Txn")).getBytes(StandardCharsets.US_ASCII));
            }));
            discovery.put(new Rig.Entry(server.uid, server.address(), "split"));
        }
        String settings = Rig.settings(
                1,
                "\"split\"",
                true,
                Rig.classJson("book", TIME_MS, TIME_MS, "keyed", "zone", 1200) + ","
                        + Rig.classJson("photos", TIME_MS, TIME_MS, "safe", "all", 0));
        Rig.Node node = rig.startNode("n1", discovery, settings, 384);
        Totals totals = new Totals();
        for (int round = 0; round < ROUNDS; round++) {
            play(rig, node, round % 2 == 1, totals);
        }
        rig.say("bookings sent " + totals.sent + ", run " + ran + ", answered " + totals.answered
                + ", lost with an orderly end of the connection " + totals.lostWithEnd
                + ", lost on a connection that stays open " + totals.lostInSilence);
        return totals.lostWithEnd + totals.lostInSilence > 0 ? Rig.BROKEN : Rig.HELD;
    }

    private static void answerLong(Rig.Connection connection) throws IOException {
        connection.out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + LONG_ANSWER_BYTES + "\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII));
        for (int sent = 0; sent < LONG_ANSWER_BYTES; sent += PIECE_BYTES) {
            connection.out.write(new byte[PIECE_BYTES]);
            connection.out.flush();
            Rig.sleepMs(PIECE_INTERVAL_MS);
        }
    }

    private static void play(Rig rig, Rig.Node node, boolean behindLongAnswer, Totals totals) throws IOException {
        List<Booking> bookings = new ArrayList<>();
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (int i = 0; i < AT_ONCE; i++) {
            Booking booking = newBooking();
            bookings.add(booking);
            all.write(booking.bytes);
        }
        try (Rig.Client client = new Rig.Client(node.address(), TIME_MS + SLACK_MS)) {
            int got = 0;
            try {
                if (behindLongAnswer) {
                    String id = Rig.newId();
                    client.write("GET /photos/1 HTTP/1.1\r\nHost: backend.local\r\nX-Txn: " + id + "\r\nX-Remaining-Ms: "
                            + TIME_MS + "\r\n\r\n");
                    // The answer has begun once its first byte is there.
                    client.in.mark(1);
                    client.in.read();
                    client.in.reset();
                    if (rig.trouble) {
                        writeAll(rig, client, bookings, all.toByteArray(), totals);
                    }
                    Rig.Message photos = client.readAnswer();
                    rig.note("request " + id + " was answered with " + photos.status + " and " + photos.body.length
                            + " bytes, Connection: " + photos.header("Connection"));
                } else if (rig.trouble) {
                    writeAll(rig, client, bookings, all.toByteArray(), totals);
                }
                for (Booking booking : bookings) {
                    if (!rig.trouble) {
                        writeAll(rig, client, List.of(booking), booking.bytes, totals);
                    }
                    Rig.Message answer = client.readAnswer();
                    rig.note("booking " + booking.id + " was answered with " + answer.status + ", Connection: "
                            + answer.header("Connection"));
                    got++;
                }
            } catch (EOFException e) {
                // An orderly end. Had the node left bytes unread, its close would have reset the connection.
                totals.lostWithEnd += AT_ONCE - got;
                rig.note("LOST: the node has ended the connection in order, without an answer to "
                        + ids(bookings.subList(got, AT_ONCE)));
            } catch (SocketTimeoutException e) {
                totals.lostInSilence += AT_ONCE - got;
                rig.note("LOST: no answer " + (TIME_MS + SLACK_MS) + " ms after the last one, and the connection is open: "
                        + ids(bookings.subList(got, AT_ONCE)));
                askOnceMore(rig, client);
            } catch (IOException e) {
                // After a reset, it is not certain that the node has read the requests: not counted.
                rig.note("not counted: " + e);
            }
            totals.answered += got;
        }
    }

    private static Booking newBooking() throws IOException {
        String id = Rig.newId();
        ByteArrayOutputStream one = new ByteArrayOutputStream();
        one.write(("POST /book/1 HTTP/1.1\r\nHost: backend.local\r\nX-Txn: " + id + "\r\nX-Remaining-Ms: " + TIME_MS
                        + "\r\nIdempotency-Key: k" + id + "\r\nContent-Length: " + BYTES + "\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII));
        byte[] body = new byte[BYTES];
        Arrays.fill(body, (byte) 'b');
        one.write(body);
        return new Booking(id, one.toByteArray());
    }

    private static void writeAll(Rig rig, Rig.Client client, List<Booking> bookings, byte[] bytes, Totals totals)
            throws IOException {
        client.out.write(bytes);
        totals.sent += bookings.size();
        rig.note("sent to their last byte: " + ids(bookings));
    }

    private static List<String> ids(List<Booking> bookings) {
        return bookings.stream().map(Booking::id).toList();
    }

    /** Only for the record: whether the connection that stays open serves another request. */
    private static void askOnceMore(Rig rig, Rig.Client client) {
        try {
            Booking next = newBooking();
            client.out.write(next.bytes);
            rig.note("a further booking on the open connection was answered with " + client.readAnswer().status);
        } catch (IOException e) {
            rig.note("a further booking on the open connection, and its last byte sent: " + e);
        }
    }
}
