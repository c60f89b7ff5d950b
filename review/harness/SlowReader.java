import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Clients that read a long answer at 64 kB a second. With TROUBLE=0 they read as fast as they can. */
final class SlowReader {
    private static final int CLIENTS = 8;
    private static final int LENGTH = 32 << 20;
    private static final int READ_BYTES_PER_S = 64_000;
    private static final int RUN_MS = 40_000;

    public static void main(String[] args) {
        Rig.main(args, SlowReader::run);
    }

    static int run(Rig rig) throws Exception {
        byte[] block = new byte[64 * 1024];
        Map<String, String> cutAtServer = new ConcurrentHashMap<>();
        List<String> entries = new ArrayList<>();
        for (int i = 1; i <= 4; i++) {
            String name = "s-" + i;
            entries.add(rig.new WebServer(name, (connection, request) -> {
                String txn = request.header("x-txn");
                rig.log(name + " runs " + txn + " and begins an answer of " + LENGTH + " bytes");
                int written = 0;
                try {
                    connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + LENGTH + "\r\n\r\n");
                    while (written < LENGTH) {
                        connection.write(block);
                        written += block.length;
                    }
                    rig.log(name + " has written the whole answer to " + txn);
                } catch (IOException e) {
                    cutAtServer.put(txn, name + " had written " + written + " bytes and was still writing");
                    rig.log(name + ": the node ended the connection after " + written + " bytes to " + txn);
                    throw e;
                }
            }).entry());
        }
        String list = Rig.list(1, true, entries);
        Rig.Discovery discovery = rig.new Discovery("discovery", list);
        int port = Rig.freePort();
        Rig.Node node = rig.startNode("n1", port, discovery.address(), Rig.config(port, discovery.address(), 256, list));
        node.awaitReady();

        AtomicLong ids = new AtomicLong(0x5eed000000000000L);
        AtomicInteger begun = new AtomicInteger();
        AtomicInteger whole = new AtomicInteger();
        AtomicInteger cut = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int c = 0; c < CLIENTS; c++) {
            clients.add(Rig.spawn("client-" + c, () -> {
                String txn = Long.toHexString(ids.incrementAndGet());
                long bytes = 0;
                long longestReadMs = 0;
                long startMs = rig.ms();
                try (Rig.Client client = rig.new Client(port, 64 * 1024)) {
                    client.write(Rig.request("GET", "/pitch-detail", txn, 450, "", 0));
                    client.socket.setSoTimeout(RUN_MS);
                    byte[] buffer = new byte[READ_BYTES_PER_S / 10];
                    String end = "still open at the end of the run";
                    long lastMs = startMs;
                    try {
                        while (bytes < LENGTH && rig.ms() < startMs + RUN_MS) {
                            int count = client.socket.getInputStream().read(buffer);
                            if (count < 0) {
                                throw new IOException("closed");
                            }
                            if (bytes == 0) {
                                begun.incrementAndGet();
                                rig.log("client got for pitch-detail " + txn + " first: " + new String(buffer, 0, 12));
                            }
                            bytes += count;
                            longestReadMs = Math.max(longestReadMs, rig.ms() - lastMs);
                            lastMs = rig.ms();
                            if (Rig.TROUBLE) {
                                // Paced by the clock, so that the mean rate is kept.
                                Thread.sleep(Math.max(0, startMs + bytes * 1_000 / READ_BYTES_PER_S - rig.ms()));
                            }
                        }
                        if (bytes >= LENGTH) {
                            whole.incrementAndGet();
                            end = "whole";
                        }
                    } catch (IOException e) {
                        cut.incrementAndGet();
                        end = "CUT OFF (" + e.getMessage() + "), web server: " + cutAtServer.get(txn);
                    }
                    rig.say("pitch-detail " + txn + ": read " + bytes + " bytes in " + (rig.ms() - startMs)
                            + " ms, at most " + longestReadMs + " ms from one read to the next; " + end);
                }
            }));
        }
        Rig.joinAll(clients);
        rig.say("long answers: " + begun + " begun, " + whole + " whole, " + cut + " cut off");
        if (begun.get() == 0) {
            return Rig.COULD_NOT_RUN;
        }
        return cut.get() > 0 ? Rig.BROKEN : Rig.HELD;
    }
}
