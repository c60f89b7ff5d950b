import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Many clients get long answers at a time, and read them slowly. Others send short requests, which are judged. With
 * TROUBLE=0 the clients with long answers read as fast as they can.
 */
final class LongAnswers {
    private static final int SOCKETS = 1_024;
    /** Under a third of the descriptors. */
    private static final int LONG_CLIENTS = 330;
    private static final int LONG_BYTES = 8 << 20;
    private static final int READ_BYTES_PER_S = 64_000;
    private static final int REMAINING_MS = 300;
    /** The slack of sockets, and the time after which a late answer counts as lost. */
    private static final int SLACK_MS = 50 + 500;

    public static void main(String[] args) {
        Rig.main(args, LongAnswers::run);
    }

    static int run(Rig rig) throws Exception {
        byte[] block = new byte[64 * 1024];
        Arrays.fill(block, (byte) 'x');
        List<String> entries = new ArrayList<>();
        for (int i = 1; i <= 6; i++) {
            String name = "s-" + i;
            entries.add(rig.new WebServer(name, (connection, request) -> {
                String txn = request.header("x-txn");
                if (request.startLine.contains("/pitch-detail")) {
                    rig.log(name + " runs " + txn + " and answers with " + LONG_BYTES + " bytes");
                    connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + LONG_BYTES + "\r\n\r\n");
                    for (int sent = 0; sent < LONG_BYTES; sent += block.length) {
                        connection.write(block);
                    }
                    return;
                }
                Thread.sleep(10);
                rig.log(name + " runs " + txn + " and answers 200");
                String body = "result of " + txn + " by " + name;
                connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
            }).entry());
        }
        String list = Rig.list(1, true, entries);
        Rig.Discovery discovery = rig.new Discovery("discovery", list);
        int port = Rig.freePort();
        Rig.Node node =
                rig.startNode("n1", port, discovery.address(), Rig.config(port, discovery.address(), SOCKETS, list));
        node.awaitReady();

        AtomicLong ids = new AtomicLong(0x5eed000000000000L);
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger ok = new AtomicInteger();
        AtomicInteger other = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        AtomicInteger begun = new AtomicInteger();
        AtomicInteger whole = new AtomicInteger();
        long startMs = rig.ms();
        long endMs = startMs + 30_000;
        List<Thread> judged = new ArrayList<>();
        for (int c = 0; c < 4; c++) {
            judged.add(Rig.spawn("client-" + c, () -> {
                while (rig.ms() < endMs) {
                    try (Rig.Client client = rig.new Client(port)) {
                        boolean open = true;
                        while (open && rig.ms() < endMs) {
                            String txn = Long.toHexString(ids.incrementAndGet());
                            client.write(Rig.request("GET", "/search", txn, REMAINING_MS, "", 0));
                            long sentMs = rig.ms();
                            sent.incrementAndGet();
                            Rig.Answer answer = client.readAnswer(sentMs + REMAINING_MS + SLACK_MS);
                            rig.log("client got for search " + txn + ": " + answer + " after " + (answer.atMs - sentMs)
                                    + " ms");
                            open = answer.end.equals("whole");
                            if (answer.status == 200) {
                                ok.incrementAndGet();
                            } else if (open) {
                                other.incrementAndGet();
                            } else {
                                lost.incrementAndGet();
                                rig.say("LOST: search " + txn + " with " + REMAINING_MS + " ms has no final answer after "
                                        + (answer.atMs - sentMs) + " ms: " + answer);
                            }
                            Thread.sleep(100);
                        }
                    }
                }
            }));
        }
        for (int b = 0; b < LONG_CLIENTS; b++) {
            int number = b;
            Rig.spawn("long-" + b, () -> {
                Thread.sleep(5_000 + 10 * number);
                readLongAnswer(rig, port, Long.toHexString(ids.incrementAndGet()), endMs, begun, whole);
            });
        }
        Rig.joinAll(judged);
        rig.say(memory(node));
        if (!node.process.isAlive()) {
            rig.say("the node has ended with code " + node.process.exitValue());
        }
        rig.say("long answers: " + begun + " begun, " + whole + " whole; short requests: " + sent + " sent, " + ok
                + " answered 200, " + other + " answered otherwise, " + lost + " lost");
        if (begun.get() < LONG_CLIENTS / 2 || ok.get() == 0) {
            return Rig.COULD_NOT_RUN;
        }
        return lost.get() > 0 || !node.process.isAlive() ? Rig.BROKEN : Rig.HELD;
    }

    /** Returns the memory and the descriptors that the node's process has now. */
    private static String memory(Rig.Node node) throws IOException {
        Path process = Path.of("/proc/" + node.process.pid());
        try (Stream<String> status = Files.lines(process.resolve("status"));
                Stream<Path> descriptors = Files.list(process.resolve("fd"))) {
            return "node: "
                    + status.filter(line -> line.startsWith("VmRSS") || line.startsWith("VmHWM"))
                            .map(line -> line.replaceAll("\\s+", " "))
                            .collect(Collectors.joining(", "))
                    + ", descriptors " + descriptors.count();
        } catch (IOException e) {
            return "node: no process";
        }
    }

    private static void readLongAnswer(
            Rig rig, int port, String txn, long endMs, AtomicInteger begun, AtomicInteger whole) throws Exception {
        try (Rig.Client client = rig.new Client(port, 64 * 1024)) {
            client.write(Rig.request("GET", "/pitch-detail", txn, 450, "", 0));
            client.socket.setSoTimeout(20_000);
            byte[] buffer = new byte[READ_BYTES_PER_S / 10];
            long bytes = 0;
            String end = "end of the run";
            try {
                while (rig.ms() < endMs && bytes < LONG_BYTES) {
                    int count = client.socket.getInputStream().read(buffer);
                    if (count < 0) {
                        end = "closed";
                        break;
                    }
                    if (bytes == 0) {
                        rig.log("client got for pitch-detail " + txn + " first: "
                                + new String(buffer, 0, Math.min(count, 12)));
                        begun.incrementAndGet();
                    }
                    bytes += count;
                    if (Rig.TROUBLE) {
                        Thread.sleep(count * 1_000L / READ_BYTES_PER_S);
                    }
                }
                if (bytes >= LONG_BYTES) {
                    whole.incrementAndGet();
                    end = "whole";
                }
            } catch (IOException e) {
                end = e.getMessage();
            }
            rig.log("client read of pitch-detail " + txn + ": " + bytes + " bytes, " + end);
        }
    }
}
