import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The parts that the cases of the second review share: the record, the node's process and the stand-ins. */
final class Rig implements Closeable {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int CANNOT_RUN = 2;

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final long startNs = System.nanoTime();
    private final PrintWriter record;
    private final List<Node> nodes = new ArrayList<>();
    private final List<Closeable> closeables = new ArrayList<>();

    Rig(Path folder) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")));
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            killAll();
            record.flush();
        }));
        note("trouble " + (trouble ? "on" : "off"));
    }

    /** The body of a case; returns HELD or BROKEN. */
    interface Body {
        int run(Rig rig) throws Exception;
    }

    /** Runs a case and exits with its result. The record goes to the folder named by the first argument. */
    static void main(String[] args, Body body) {
        int result = CANNOT_RUN;
        try (Rig rig = new Rig(Path.of(args[0]))) {
            try {
                result = body.run(rig);
            } catch (Exception e) {
                rig.note("the case could not run: " + e);
                e.printStackTrace();
            }
            rig.note("result " + result);
        } catch (Exception e) {
            e.printStackTrace();
        }
        Runtime.getRuntime().exit(result);
    }

    double seconds() {
        return (System.nanoTime() - startNs) / 1e9;
    }

    /** Writes a line to the record. */
    synchronized void note(String line) {
        record.printf("%9.3f %s%n", seconds(), line);
    }

    /** Writes a line to the record and to standard output. */
    void say(String line) {
        note(line);
        System.out.println(line);
    }

    <T extends Closeable> T own(T closeable) {
        closeables.add(closeable);
        return closeable;
    }

    private void killAll() {
        nodes.forEach(n -> n.process.destroyForcibly());
    }

    @Override
    public void close() {
        killAll();
        for (Closeable c : closeables) {
            closeQuietly(c);
        }
        record.flush();
    }

    static void closeQuietly(Closeable c) {
        try {
            c.close();
        } catch (IOException e) {
            // It is closed either way.
        }
    }

    static void sleepMs(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Starts a daemon thread. */
    static Thread thread(Runnable work) {
        Thread t = new Thread(work);
        t.setDaemon(true);
        t.start();
        return t;
    }

    static InetAddress loopback() throws IOException {
        return InetAddress.getByName("127.0.0.1");
    }

    static int freePort() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, loopback())) {
            return s.getLocalPort();
        }
    }

    private static final AtomicLong NEXT_ID = new AtomicLong(System.nanoTime() << 20);

    /** Returns a fresh id for X-Txn. */
    static String newId() {
        return String.format("%016x", NEXT_ID.incrementAndGet());
    }

    // ---------------------------------------------------------------- the node

    /** A node that runs as the platform starts it. */
    final class Node {
        final String name;
        final String listen;
        final String admin;
        final Process process;
        final Path log;
        final Path config;

        Node(String name, String listen, String admin, Process process, Path log, Path config) {
            this.name = name;
            this.listen = listen;
            this.admin = admin;
            this.process = process;
            this.log = log;
            this.config = config;
        }

        InetSocketAddress address() {
            return addressOf(listen);
        }

        void signal(String signal) throws Exception {
            new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid())
                    .inheritIO()
                    .start()
                    .waitFor();
        }

        /** Holds the process up for a time, and returns the milliseconds that it took at most. */
        long holdUp(long ms) throws Exception {
            long startNs = System.nanoTime();
            new ProcessBuilder(
                            "/bin/sh",
                            "-c",
                            "kill -STOP " + process.pid() + "; sleep " + ms / 1000.0 + "; kill -CONT " + process.pid())
                    .start()
                    .waitFor();
            return elapsedMs(startNs);
        }

        boolean isReady() {
            try (Client client = new Client(address(), 1_000)) {
                client.write("GET /ready HTTP/1.1\r\nHost: backend.local\r\n\r\n");
                return client.readAnswer().status == 200;
            } catch (IOException e) {
                return false;
            }
        }

        String metrics() throws IOException {
            try (Client client = new Client(addressOf(admin), 2_000)) {
                client.write("GET /_vars HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n");
                return client.readAnswer().text();
            }
        }

        long metric(String key) throws IOException {
            for (String line : metrics().split("\n")) {
                if (line.startsWith(key + "=")) {
                    return Long.parseLong(line.substring(key.length() + 1).trim());
                }
            }
            return -1;
        }
    }

    static InetSocketAddress addressOf(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    /** Starts a node with the command `run` of the deploy file and waits until it is ready. */
    Node startNode(String name, Discovery discovery, String settings, int sockets) throws Exception {
        return startNode(name, "127.0.0.1:" + freePort(), discovery.address(), discovery.wholeList(), settings, sockets);
    }

    Node startNode(String name, String listen, String discovery, String known, String settings, int sockets)
            throws Exception {
        Path folder = Files.createTempDirectory("tansypass-review");
        deleteAtEnd(folder);
        String admin = "127.0.0.1:" + freePort();
        Path config = folder.resolve("config.json");
        writeConfig(config, name, listen, discovery, known, settings, sockets);
        Path log = folder.resolve("log.txt");
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand());
        builder.directory(root().toFile());
        Map<String, String> env = builder.environment();
        env.put("LB_NAME", name);
        env.put("LB_LISTEN", listen);
        env.put("LB_DISCOVERY", discovery);
        env.put("LB_CONFIG", config.toString());
        env.put("LB_ADMIN", admin);
        env.put("TMPDIR", folder.toString());
        builder.redirectErrorStream(true).redirectOutput(log.toFile());
        Node node = new Node(name, listen, admin, builder.start(), log, config);
        nodes.add(node);
        for (int i = 0; i < 300 && node.process.isAlive(); i++) {
            if (node.isReady()) {
                note("node " + name + " is ready at " + listen + ", process " + node.process.pid());
                return node;
            }
            sleepMs(100);
        }
        throw new IOException("the node " + name + " did not become ready: " + Files.readString(log));
    }

    static void writeConfig(
            Path file, String name, String listen, String discovery, String known, String settings, int sockets)
            throws IOException {
        Path next = file.resolveSibling("config.next");
        Files.writeString(
                next,
                "{\"name\":\"" + name + "\",\"listen\":\"" + listen + "\",\"discovery\":\"" + discovery
                        + "\",\"seed\":\"" + newId() + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":"
                        + sockets + "},\"known\":" + known + ",\"settings\":" + settings + "}");
        Files.move(next, file, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
    }

    private static void deleteAtEnd(Path folder) {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            File[] files = folder.toFile().listFiles();
            if (files != null) {
                for (File f : files) {
                    f.delete();
                }
            }
            folder.toFile().delete();
        }));
    }

    static Path root() {
        return Path.of(System.getProperty("root"));
    }

    private static String runCommand() throws IOException {
        Matcher m = Pattern.compile("(?m)^run = \"(.*)\"$")
                .matcher(Files.readString(root().resolve("deploy/balancer.toml")));
        if (!m.find()) {
            throw new IOException("the deploy file has no command `run`");
        }
        return m.group(1).replace("\\\"", "\"").replace("\\\\", "\\");
    }

    // ---------------------------------------------------------------- discovery

    /** One web server on the list. */
    static final class Entry {
        final String uid;
        final String endpoint;
        final String zone;
        volatile String state = "Ready";
        volatile long bootMs;

        Entry(String uid, String endpoint, String zone) {
            this.uid = uid;
            this.endpoint = endpoint;
            this.zone = zone;
        }

        String json() {
            return "{\"uid\":\"" + uid + "\",\"endpoint\":\"" + endpoint + "\",\"az\":\"" + zone
                    + "\",\"model\":\"m1\",\"pod_group\":0,\"state\":\"" + state
                    + "\",\"capacity_hint\":1.0,\"boot_ms\":" + bootMs + "}";
        }
    }

    /** The discovery agent: the whole list, and watches with the changes. */
    static final class Discovery implements Closeable {
        private final ServerSocket listener = new ServerSocket(0, 64, loopback());
        private final Map<String, Entry> entries = new LinkedHashMap<>();
        private final List<Map.Entry<Long, String>> changes = new ArrayList<>();
        private final Collection<Socket> open = ConcurrentHashMap.newKeySet();
        private long rev = 41;

        Discovery() throws IOException {
            thread(this::acceptAll);
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        /** Adds a server to the list, or tells its changed entry. */
        synchronized void put(Entry entry) {
            entries.put(entry.uid, entry);
            rev++;
            changes.add(Map.entry(rev, entry.json()));
            notifyAll();
        }

        synchronized String wholeList() {
            StringBuilder list = new StringBuilder("{\"rev\":" + rev + ",\"all\":true,\"targets\":[");
            String separator = "";
            for (Entry e : entries.values()) {
                list.append(separator).append(e.json());
                separator = ",";
            }
            return list.append("]}").toString();
        }

        private void acceptAll() {
            while (!listener.isClosed()) {
                try {
                    Socket s = listener.accept();
                    s.setTcpNoDelay(true);
                    open.add(s);
                    thread(() -> serve(s));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket s) {
            try (s) {
                Message request = Message.readRequest(new BufferedInputStream(s.getInputStream()));
                OutputStream out = s.getOutputStream();
                Matcher m = Pattern.compile("after=(\\d+)").matcher(request.target);
                if (!m.find()) {
                    byte[] body = wholeList().getBytes(StandardCharsets.UTF_8);
                    out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\nConnection: close\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
                    out.write(body);
                    return;
                }
                out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                long told = Long.parseLong(m.group(1));
                while (true) {
                    String line = "";
                    synchronized (this) {
                        long untilMs = System.currentTimeMillis() + 2_000;
                        while (rev <= told && System.currentTimeMillis() < untilMs) {
                            wait(Math.max(1, untilMs - System.currentTimeMillis()));
                        }
                        if (rev > told) {
                            StringBuilder targets = new StringBuilder();
                            for (Map.Entry<Long, String> c : changes) {
                                if (c.getKey() > told) {
                                    targets.append(targets.length() == 0 ? "" : ",").append(c.getValue());
                                }
                            }
                            line = "{\"rev\":" + rev + ",\"all\":false,\"targets\":[" + targets + "]}";
                            told = rev;
                        }
                    }
                    byte[] bytes = (line + "\n").getBytes(StandardCharsets.UTF_8);
                    out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
                    out.write(bytes);
                    out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
                    out.flush();
                }
            } catch (IOException | InterruptedException e) {
                // The node has closed its watch.
            } finally {
                open.remove(s);
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
            open.forEach(Rig::closeQuietly);
        }
    }

    // ---------------------------------------------------------------- HTTP

    /** A request or an answer. */
    static final class Message {
        String method;
        String target;
        int status;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(), "");
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        /** Reads the head and the body of a request; throws EOFException if there is no whole one. */
        static Message readRequest(InputStream in) throws IOException {
            Message m = readRequestHead(in);
            m.readBody(in, false);
            return m;
        }

        static Message readRequestHead(InputStream in) throws IOException {
            Message m = new Message();
            String[] first = readLine(in).split(" ");
            if (first.length < 3) {
                throw new IOException("no request line");
            }
            m.method = first[0];
            m.target = first[1];
            m.readHeaders(in);
            return m;
        }

        static Message readAnswer(InputStream in) throws IOException {
            Message m = new Message();
            String[] first = readLine(in).split(" ");
            if (first.length < 2 || !first[0].startsWith("HTTP/1.")) {
                throw new IOException("no status line");
            }
            m.status = Integer.parseInt(first[1]);
            m.readHeaders(in);
            m.readBody(in, true);
            return m;
        }

        private void readHeaders(InputStream in) throws IOException {
            for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
                int colon = line.indexOf(':');
                headers.put(line.substring(0, colon).trim().toLowerCase(), line.substring(colon + 1).trim());
            }
        }

        void readBody(InputStream in, boolean untilEnd) throws IOException {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            if (header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
                int size = Integer.parseInt(readLine(in).split(";")[0].trim(), 16);
                while (size > 0) {
                    all.write(readExactly(in, size));
                    readLine(in);
                    size = Integer.parseInt(readLine(in).split(";")[0].trim(), 16);
                }
                while (!readLine(in).isEmpty()) {
                    // Trailers are not used.
                }
            } else if (!header("Content-Length").isEmpty()) {
                all.write(readExactly(in, Integer.parseInt(header("Content-Length"))));
            } else if (untilEnd) {
                all.write(in.readAllBytes());
            }
            body = all.toByteArray();
        }

        static byte[] readExactly(InputStream in, int size) throws IOException {
            byte[] bytes = in.readNBytes(size);
            if (bytes.length < size) {
                throw new EOFException("ended after " + bytes.length + " of " + size);
            }
            return bytes;
        }

        static String readLine(InputStream in) throws IOException {
            StringBuilder line = new StringBuilder();
            for (int b = in.read(); b != '\n'; b = in.read()) {
                if (b < 0) {
                    throw new EOFException("ended in a line");
                }
                if (b != '\r') {
                    line.append((char) b);
                }
            }
            return line.toString();
        }
    }

    /** One connection of a client. */
    static final class Client implements Closeable {
        final Socket socket = new Socket();
        final InputStream in;
        final OutputStream out;

        Client(InetSocketAddress address, int timeoutMs) throws IOException {
            try {
                socket.connect(address, timeoutMs);
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(timeoutMs);
                in = new BufferedInputStream(socket.getInputStream());
                out = socket.getOutputStream();
            } catch (IOException e) {
                socket.close();
                throw e;
            }
        }

        void write(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.US_ASCII));
            out.flush();
        }

        Message readAnswer() throws IOException {
            return Message.readAnswer(in);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** What a web server does with a request whose last byte has come. */
    interface Handler {
        void handle(Message request, Connection connection) throws Exception;
    }

    /** A connection at a web server. */
    static final class Connection {
        final Socket socket;
        final InputStream in;
        final OutputStream out;
        final WebServer server;

        Connection(Socket socket, WebServer server) throws IOException {
            this.socket = socket;
            this.server = server;
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        void answer(int status, byte[] body, String... headers) throws IOException {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " Answer\r\nContent-Length: " + body.length);
            for (String h : headers) {
                head.append("\r\n").append(h);
            }
            all.write(head.append("\r\n\r\n").toString().getBytes(StandardCharsets.US_ASCII));
            all.write(body);
            out.write(all.toByteArray());
            out.flush();
        }
    }

    /** A web server: one thread for each connection. */
    static class WebServer implements Closeable {
        final String uid;
        final ServerSocket listener;
        final Collection<Socket> open = ConcurrentHashMap.newKeySet();
        final Handler handler;

        WebServer(String uid, int receiveBuffer, Handler handler) throws IOException {
            this.uid = uid;
            this.handler = handler;
            listener = new ServerSocket();
            if (receiveBuffer > 0) {
                listener.setReceiveBufferSize(receiveBuffer);
            }
            listener.bind(new InetSocketAddress(loopback(), 0), 1_024);
            thread(this::acceptAll);
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        private void acceptAll() {
            while (!listener.isClosed()) {
                try {
                    Socket s = listener.accept();
                    s.setTcpNoDelay(true);
                    open.add(s);
                    thread(() -> serve(s));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket s) {
            try (s) {
                Connection connection = new Connection(s, this);
                while (true) {
                    serveOne(connection);
                }
            } catch (Exception e) {
                onEnd(e);
            } finally {
                open.remove(s);
            }
        }

        /** Reads one request and passes it to the handler. */
        void serveOne(Connection connection) throws Exception {
            handler.handle(Message.readRequest(connection.in), connection);
        }

        /** Called when a connection has ended. */
        void onEnd(Exception cause) {}

        @Override
        public void close() throws IOException {
            listener.close();
            open.forEach(Rig::closeQuietly);
        }
    }

    // ---------------------------------------------------------------- settings

    static String classJson(String name, long onTimeMs, long giveUpMs, String repeat, String group, long windowMs) {
        return "{\"name\":\"" + name + "\",\"onTimeUs\":" + onTimeMs * 1000 + ",\"giveUpUs\":" + giveUpMs * 1000
                + ",\"repeat\":\"" + repeat + "\",\"group\":\"" + group + "\",\"windowUs\":" + windowMs * 1000
                + ",\"importance\":5.0,\"lateWorth\":0.0,\"stream\":false}";
    }

    /** Settings of a small deployment. */
    static String settings(int nodes, String zones, boolean cancelling, String classes) {
        return "{\"balancers\":" + nodes + ",\"me\":0,\"zones\":[" + zones + "],\"myZone\":"
                + zones.split(",")[0] + ",\"classes\":[" + classes + "],\"realms\":[],"
                + "\"callers\":{\"marksRetry\":false},\"membershipMode\":\"pushed\",\"countedBy\":\"request\","
                + "\"quantumUs\":2000,\"limits\":{\"cancelling\":" + cancelling
                + ",\"connIdleUs\":10000000,\"dialTimeoutUs\":100000,\"attemptsCap\":5,\"probes\":false,"
                + "\"retryAfter\":false,\"parallelTries\":false,\"streamsPerConn\":1},"
                + "\"rules\":{\"graceToAnswerUs\":50000,\"drainGraceUs\":3000000,\"coldFrom\":0.2,"
                + "\"coldUs\":20000000,\"overloadFactor\":3.0,\"fallUs\":3000000},"
                + "\"costs\":{\"crossZone\":0.03,\"probe\":0.01},\"report\":{\"via\":\"none\",\"fields\":[]}}";
    }

    static long elapsedMs(long sinceNs) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sinceNs);
    }
}
