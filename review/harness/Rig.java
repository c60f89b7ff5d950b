import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
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
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * What the cases share: a node as a process of its own, started by the command `run` of deploy/balancer.toml, and
 * stand-ins for discovery, web servers and clients on loopback addresses. Each stand-in follows the protocol page unless
 * a case tells it otherwise.
 */
final class Rig implements AutoCloseable {
    static final boolean TROUBLE = !"0".equals(System.getenv().getOrDefault("TROUBLE", "1"));
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    final Path temp;
    private final Path root;
    private final PrintWriter record;
    private final long startNs = System.nanoTime();
    private final List<AutoCloseable> parts = new CopyOnWriteArrayList<>();
    private final List<Process> processes = new CopyOnWriteArrayList<>();

    /** A case: returns its exit code. */
    interface Case {
        int run(Rig rig) throws Exception;
    }

    /** Runs a case. Arguments: the repository's root and the folder of the case. */
    static void main(String[] args, Case body) {
        int code = COULD_NOT_RUN;
        try (Rig rig = new Rig(Path.of(args[0]), Path.of(args[1]))) {
            rig.log("case starts, TROUBLE=" + (TROUBLE ? 1 : 0));
            try {
                code = body.run(rig);
            } catch (Throwable e) {
                rig.log("COULD NOT RUN: " + e);
                e.printStackTrace();
            }
            rig.log("exit code " + code);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.out.flush();
        Runtime.getRuntime().halt(code);
    }

    private Rig(Path root, Path caseFolder) throws IOException {
        this.root = root;
        temp = Files.createTempDirectory("review");
        record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")), false);
        Runtime.getRuntime().addShutdownHook(new Thread(this::killProcesses));
    }

    long ms() {
        return (System.nanoTime() - startNs) / 1_000_000;
    }

    /** Writes a line to the record. */
    void log(String line) {
        synchronized (record) {
            record.printf("%8.3f %s%n", (System.nanoTime() - startNs) / 1e9, line);
        }
    }

    /** Writes a line to the record and to standard output. */
    void say(String line) {
        log(line);
        System.out.println(line);
    }

    private void killProcesses() {
        processes.forEach(Process::destroyForcibly);
    }

    @Override
    public void close() throws Exception {
        killProcesses();
        for (Process process : processes) {
            process.waitFor(10, TimeUnit.SECONDS);
        }
        for (AutoCloseable part : parts) {
            part.close();
        }
        synchronized (record) {
            record.flush();
            record.close();
        }
        try (Stream<Path> files = Files.walk(temp)) {
            files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        }
    }

    // ---- the node ----

    /** Returns the value of a one-line text key of the deploy file. */
    String deployCommand(String key) throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith(key + " = \"") && line.endsWith("\"")) {
                return line.substring(key.length() + 4, line.length() - 1).replace("\\\"", "\"");
            }
        }
        throw new IOException("no command " + key + " in the deploy file");
    }

    /** A node's process. */
    final class Node {
        final Process process;
        final int port;
        final Path log;

        private Node(Process process, int port, Path log) {
            this.process = process;
            this.port = port;
            this.log = log;
        }

        void signal(String name) throws Exception {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
        }

        /** Waits until GET /ready has answered 200. */
        void awaitReady() throws Exception {
            long endMs = ms() + 20_000;
            while (ms() < endMs) {
                if (!process.isAlive()) {
                    throw new IOException("the node ended with code " + process.exitValue());
                }
                try (Client client = new Client(port)) {
                    client.write("GET /ready HTTP/1.1\r\nHost: backend.local\r\n\r\n");
                    if (client.readAnswer(ms() + 1_000).status == 200) {
                        log("node is ready");
                        return;
                    }
                } catch (IOException e) {
                    // not listening yet
                }
                Thread.sleep(100);
            }
            throw new IOException("the node did not become ready");
        }
    }

    /** Starts a node by the deploy file's `run`. */
    Node startNode(String name, int port, String discovery, String config) throws Exception {
        Path file = temp.resolve(name + ".json");
        Files.writeString(file, config);
        Path log = temp.resolve(name + ".log");
        Path nodeTemp = Files.createDirectories(temp.resolve(name + ".tmp"));
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", deployCommand("run"))
                .directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.environment().keySet().removeIf(key -> key.startsWith("LB_"));
        builder.environment().put("LB_NAME", name);
        builder.environment().put("LB_LISTEN", "127.0.0.1:" + port);
        builder.environment().put("LB_DISCOVERY", discovery);
        builder.environment().put("LB_CONFIG", file.toString());
        builder.environment().put("TMPDIR", nodeTemp.toString());
        Process process = builder.start();
        processes.add(process);
        log("node " + name + " started");
        return new Node(process, port, log);
    }

    /** Returns a port that was free a moment ago. */
    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /**
     * Returns a node's configuration with the settings of a small deployment: the classes, limits and rules of the
     * example on the wire page.
     */
    static String config(int port, String discovery, int sockets, String known) {
        return """
            {"name":"n1","listen":"127.0.0.1:%d","discovery":"%s","seed":"8c1f30d27a5be964",
             "limits":{"cores":1.0,"memory_mb":192,"sockets":%d},
             "known":%s,
             "settings":{"balancers":1,"serviceType":"proxy","layers":["web-fleet"],"tier":0,"me":0,
              "zones":["split"],"myZone":"split","kinds":["full-core"],"weights":"rough","countedBy":"work",
              "callers":{"marksRetry":false},"membershipMode":"pushed","overShareWorth":0.05,"quantumUs":2000,
              "classes":[
               {"name":"search","importance":5.0,"onTimeUs":200000,"giveUpUs":400000,"lateWorth":0.0,
                "repeat":"safe","group":"all","windowUs":5000000,"stream":false},
               {"name":"pitch-detail","importance":2.0,"onTimeUs":250000,"giveUpUs":500000,"lateWorth":0.0,
                "repeat":"safe","group":"all","windowUs":5000000,"stream":false},
               {"name":"book","importance":10.0,"onTimeUs":250000,"giveUpUs":1200000,"lateWorth":0.0,
                "repeat":"keyed","group":"zone","windowUs":1200000,"stream":false}],
              "realms":[{"name":"borik-bay","quotaPerS":400.0,"share":0.5},
                        {"name":"zlatna-uvala","quotaPerS":400.0,"share":0.5}],
              "limits":{"attemptsCap":5,"cancelling":true,"connIdleUs":10000000,"cpuUsPerRequest":0.0,
               "cpuUsPerS":400000,"dialTimeoutUs":100000,"maxOpen":20000,"maxRetryAfterUs":600000,
               "parallelTries":true,"peerMessages":false,"probes":true,"retryAfter":true,"streamsPerConn":1},
              "costs":{"connection":0.0,"crossZone":0.03,"handshake":0.02,"lateFail":0.03,"probe":0.01,"waste":0.25},
              "report":{"fields":["concurrent"],"via":"probe"},
              "rules":{"askWithinUs":10000000,"coldFrom":0.18,"coldUs":23000000,"drainGraceUs":3000000,
               "fallUs":3000000,"graceToAnswerUs":8000,"overloadFactor":3.0}}}
            """.formatted(port, discovery, sockets, known);
    }

    // ---- discovery ----

    /** One entry of the list of web servers. */
    static String entry(String uid, String endpoint, String state) {
        return "{\"uid\":\"" + uid + "\",\"endpoint\":\"" + endpoint + "\",\"az\":\"split\",\"model\":\"full-core\","
                + "\"pod_group\":0,\"state\":\"" + state + "\",\"capacity_hint\":1.0,\"boot_ms\":0}";
    }

    /** Returns a list of web servers in discovery's form. */
    static String list(long revision, boolean all, List<String> entries) {
        return "{\"rev\":" + revision + ",\"all\":" + all + ",\"targets\":[" + String.join(",", entries) + "]}";
    }

    /** The discovery agent: answers each watch with the whole list, then with an empty line every 2 s. */
    final class Discovery implements AutoCloseable {
        final ServerSocket listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
        private final List<Socket> watches = new CopyOnWriteArrayList<>();
        private volatile String whole;
        final String name;

        Discovery(String name, String whole) throws IOException {
            this.name = name;
            this.whole = whole;
            parts.add(this);
            spawn(name, this::accept);
            spawn(name + "-beat", this::beat);
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        private void accept() throws IOException {
            while (true) {
                Socket socket = listener.accept();
                spawn(name + "-call", () -> serve(socket));
            }
        }

        private void serve(Socket socket) throws IOException {
            Message call = Message.read(new BufferedInputStream(socket.getInputStream()));
            if (call == null) {
                socket.close();
                return;
            }
            if (!call.startLine.contains("watch=1")) {
                write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + whole.length() + "\r\n\r\n" + whole);
                return;
            }
            log(name + ": watch opened, " + call.startLine);
            synchronized (socket) {
                write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(whole + "\n"));
            }
            watches.add(socket);
        }

        private String chunk(String text) {
            return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
        }

        private void beat() throws InterruptedException {
            while (true) {
                Thread.sleep(2_000);
                send("\n");
            }
        }

        private void send(String text) {
            for (Socket watch : watches) {
                try {
                    synchronized (watch) {
                        write(watch, chunk(text));
                    }
                } catch (IOException e) {
                    watches.remove(watch);
                }
            }
        }

        /** Sends a change to all watches, and makes `newWhole` the list for later calls. */
        void change(String message, String newWhole) {
            whole = newWhole;
            log(name + ": tells " + message);
            send(message + "\n");
        }

        /** Takes no new connection. */
        void stopListening() throws IOException {
            listener.close();
        }

        /** Closes the open watches. */
        void closeWatches() throws IOException {
            for (Socket watch : watches) {
                watch.close();
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
            closeWatches();
        }
    }

    // ---- web servers ----

    /** Handles a whole request; writes its answer to the connection. */
    interface Handler {
        void handle(ServerConnection connection, Message request) throws Exception;
    }

    /** A connection to a web server. */
    static final class ServerConnection {
        final Socket socket;
        final int number;

        ServerConnection(Socket socket, int number) {
            this.socket = socket;
            this.number = number;
        }

        void write(String text) throws IOException {
            Rig.write(socket, text);
        }

        void write(byte[] bytes) throws IOException {
            socket.getOutputStream().write(bytes);
        }
    }

    /** A web server with a thread for each connection. */
    final class WebServer implements AutoCloseable {
        final ServerSocket listener = new ServerSocket();
        final String name;
        private final Handler handler;
        private final List<Socket> sockets = new CopyOnWriteArrayList<>();
        private int connections;

        WebServer(String name, Handler handler) throws IOException {
            this(name, 0, handler);
        }

        /** @param receiveBuffer size of the connections' receive buffers in bytes; 0 for the system's */
        WebServer(String name, int receiveBuffer, Handler handler) throws IOException {
            this.name = name;
            this.handler = handler;
            if (receiveBuffer > 0) {
                listener.setReceiveBufferSize(receiveBuffer);
            }
            listener.bind(new InetSocketAddress("127.0.0.1", 0), 256);
            parts.add(this);
            spawn(name, this::accept);
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        String entry() {
            return Rig.entry(name, address(), "Ready");
        }

        private void accept() throws IOException {
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                ServerConnection connection = new ServerConnection(socket, ++connections);
                spawn(name + "-" + connection.number, () -> serve(connection));
            }
        }

        private void serve(ServerConnection connection) throws Exception {
            try {
                // The machine closes a connection that has been idle for 10 s.
                connection.socket.setSoTimeout(10_000);
                InputStream in = new BufferedInputStream(connection.socket.getInputStream());
                Message request = Message.read(in);
                while (request != null) {
                    if (request.header("x-txn") == null) {
                        connection.write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
                    } else {
                        handler.handle(connection, request);
                    }
                    request = Message.read(in);
                }
            } finally {
                sockets.remove(connection.socket);
                connection.socket.close();
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    /** A whole HTTP request. */
    static final class Message {
        final String startLine;
        final Map<String, String> headers;
        final byte[] body;

        private Message(String startLine, Map<String, String> headers, byte[] body) {
            this.startLine = startLine;
            this.headers = headers;
            this.body = body;
        }

        String header(String lowerCaseName) {
            return headers.get(lowerCaseName);
        }

        /** Reads a message; returns null if the connection ended before its end. */
        static Message read(InputStream in) throws IOException {
            try {
                String startLine = readLine(in);
                Map<String, String> headers = new LinkedHashMap<>();
                for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
                    int colon = line.indexOf(':');
                    headers.put(
                            line.substring(0, colon).trim().toLowerCase(),
                            line.substring(colon + 1).trim());
                }
                byte[] body;
                if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
                    ByteArrayOutputStream all = new ByteArrayOutputStream();
                    for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
                        all.write(readBytes(in, size));
                        readLine(in);
                    }
                    readLine(in);
                    body = all.toByteArray();
                } else {
                    body = readBytes(in, Integer.parseInt(headers.getOrDefault("content-length", "0")));
                }
                return new Message(startLine, headers, body);
            } catch (EOFException | SocketTimeoutException | java.net.SocketException e) {
                return null;
            }
        }

        private static int chunkSize(InputStream in) throws IOException {
            return Integer.parseInt(readLine(in).split(";")[0].trim(), 16);
        }
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new EOFException();
            }
            line.write(b);
        }
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }

    static byte[] readBytes(InputStream in, int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) {
            throw new EOFException();
        }
        return bytes;
    }

    static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    // ---- clients ----

    /** What a client has read. Status 0: no whole answer. */
    static final class Answer {
        int status;
        String body = "";
        /** "whole", "closed", "reset" or "none" (nothing more by the time at which the client stopped reading). */
        String end = "none";
        long bodyBytes;
        long atMs;

        @Override
        public String toString() {
            return end + " status=" + status + " bytes=" + bodyBytes;
        }
    }

    /** A client's connection. */
    final class Client implements AutoCloseable {
        final Socket socket = new Socket();
        private final InputStream in;

        Client(int port) throws IOException {
            this(port, 0);
        }

        Client(int port, int receiveBuffer) throws IOException {
            if (receiveBuffer > 0) {
                socket.setReceiveBufferSize(receiveBuffer);
            }
            socket.setTcpNoDelay(true);
            try {
                socket.connect(new InetSocketAddress("127.0.0.1", port), 3_000);
                in = new BufferedInputStream(socket.getInputStream());
            } catch (IOException e) {
                socket.close();
                throw e;
            }
        }

        void write(String text) throws IOException {
            Rig.write(socket, text);
        }

        /** Reads one answer until `untilMs` on the rig's clock. */
        Answer readAnswer(long untilMs) {
            Answer answer = new Answer();
            try {
                limit(untilMs);
                String statusLine = readLine(in);
                int status = Integer.parseInt(statusLine.split(" ")[1]);
                long length = -1;
                boolean chunked = false;
                for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
                    String lower = line.toLowerCase();
                    if (lower.startsWith("content-length:")) {
                        length = Long.parseLong(lower.substring(15).trim());
                    }
                    chunked |= lower.startsWith("transfer-encoding:") && lower.endsWith("chunked");
                }
                ByteArrayOutputStream body = new ByteArrayOutputStream();
                if (chunked) {
                    while (true) {
                        limit(untilMs);
                        int size = Integer.parseInt(readLine(in).trim(), 16);
                        if (size == 0) {
                            readLine(in);
                            break;
                        }
                        readBody(size, body, answer, untilMs);
                        readLine(in);
                    }
                } else {
                    readBody(length, body, answer, untilMs);
                }
                answer.status = status;
                answer.body = body.toString(StandardCharsets.ISO_8859_1);
                answer.end = "whole";
            } catch (SocketTimeoutException e) {
                answer.end = "none";
            } catch (EOFException e) {
                answer.end = "closed";
            } catch (IOException e) {
                answer.end = "reset";
            }
            answer.atMs = ms();
            return answer;
        }

        private void readBody(long size, ByteArrayOutputStream body, Answer answer, long untilMs) throws IOException {
            byte[] buffer = new byte[8_192];
            long left = size;
            while (left > 0) {
                limit(untilMs);
                int count = in.read(buffer, 0, (int) Math.min(left, buffer.length));
                if (count < 0) {
                    throw new EOFException();
                }
                left -= count;
                answer.bodyBytes += count;
                if (body.size() < 200_000) {
                    body.write(buffer, 0, count);
                }
            }
        }

        private void limit(long untilMs) throws IOException {
            long left = untilMs - ms();
            if (left <= 0) {
                throw new SocketTimeoutException();
            }
            socket.setSoTimeout((int) left);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** Returns a request as clients send it. */
    static String request(String method, String path, String txn, int remainingMs, String extra, int bodyLength) {
        return method + " " + path + " HTTP/1.1\r\nHost: backend.local\r\nX-Txn: " + txn
                + "\r\nX-Org: borik-bay\r\nX-Remaining-Ms: " + remainingMs + "\r\n" + extra
                + (method.equals("GET") ? "" : "Content-Length: " + bodyLength + "\r\n") + "\r\n";
    }

    // ---- threads ----

    /** A task that may throw. */
    interface Task {
        void run() throws Exception;
    }

    /** Runs a task on a daemon thread; errors of connections end it. */
    static Thread spawn(String name, Task task) {
        Thread thread = new Thread(
                null,
                () -> {
                    try {
                        task.run();
                    } catch (IOException | InterruptedException e) {
                        // the connection or the case has ended
                    } catch (Exception e) {
                        e.printStackTrace();
                    }
                },
                name,
                256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void joinAll(List<Thread> threads) throws InterruptedException {
        for (Thread thread : new ArrayList<>(threads)) {
            thread.join();
        }
    }
}
