package tansypass.node;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Queue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A scripted server on a loopback socket that records all requests. Used as a web server or as the discovery agent. */
public final class FakePeer implements Closeable {
    /** Longest time that a test waits for an expected event, in seconds. */
    public static final long AWAIT_TIMEOUT_S = 30;

    /** The reaction of the server to a request. Runs on the thread of the request's connection. */
    public interface Script {
        void run(Socket socket, String request) throws IOException, InterruptedException;
    }

    /** Sends no response. */
    public static final Script SILENT = (socket, request) -> {};
    /** Resets the connection. */
    public static final Script RESET = (socket, request) -> {
        socket.setSoLinger(true, 0);
        socket.close();
    };
    /** Closes the connection without a response. */
    public static final Script CLOSE = (socket, request) -> socket.close();

    /** Requests that were received and that the test has not taken yet, oldest first. */
    public final BlockingQueue<String> requests = new LinkedBlockingQueue<>();
    /** Connections that the other side has closed and that the test has not taken yet, oldest first. */
    public final BlockingQueue<Socket> closedConnections = new LinkedBlockingQueue<>();
    /** Connections that were accepted and that the test has not taken yet, oldest first. */
    public final BlockingQueue<Socket> accepted = new LinkedBlockingQueue<>();

    private final Queue<Socket> openConnections = new ConcurrentLinkedQueue<>();
    private final ServerSocket serverSocket;
    private volatile Script script;

    public FakePeer(Script script) throws IOException {
        this.script = script;
        serverSocket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        startDaemon(() -> {
            while (true) {
                Socket socket = serverSocket.accept();
                openConnections.add(socket);
                accepted.add(socket);
                startDaemon(() -> serve(socket));
            }
        });
    }

    /** Returns a script that sends a response with a body. Each header line must end with CRLF. */
    public static Script respondWith(String status, String headers, String body) {
        return respondRaw(
                "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body);
    }

    /** Returns a script that sends a text unchanged. */
    public static Script respondRaw(String text) {
        return (socket, request) -> write(socket, text);
    }

    /** Writes a text in ISO 8859-1 and flushes it. */
    public static void write(Socket socket, String text) throws IOException {
        // The stream is fetched once, because fetching it fails after another thread of the test has shut the output
        // down.
        OutputStream output = socket.getOutputStream();
        output.write(text.getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
    }

    /** Sets the reaction to requests that arrive after this call. */
    public void setScript(Script next) {
        script = next;
    }

    public int port() {
        return serverSocket.getLocalPort();
    }

    public String address() {
        return "127.0.0.1:" + port();
    }

    /** Waits for the next request and takes it. Fails after {@link #AWAIT_TIMEOUT_S}. */
    public String nextRequest() throws InterruptedException {
        return awaitNext(requests);
    }

    /** Waits for the next element of a queue and takes it. Fails after {@link #AWAIT_TIMEOUT_S}. */
    public static <T> T awaitNext(BlockingQueue<T> queue) throws InterruptedException {
        T next = queue.poll(AWAIT_TIMEOUT_S, TimeUnit.SECONDS);
        if (next == null) {
            throw new AssertionError("nothing arrived within " + AWAIT_TIMEOUT_S + " s");
        }
        return next;
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        try {
            for (String request = readMessage(socket); request != null; request = readMessage(socket)) {
                requests.add(request);
                script.run(socket, request);
            }
        } finally {
            closedConnections.add(socket);
        }
    }

    /** Reads an HTTP message with its body. Returns null at the end of the stream. */
    public static String readMessage(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        StringBuilder text = new StringBuilder();
        while (text.indexOf("\r\n\r\n") < 0) {
            int b = in.read();
            if (b < 0) {
                return null;
            }
            text.append((char) b);
        }
        String length = findHeader(text.toString(), "content-length");
        byte[] body = in.readNBytes(length == null ? 0 : Integer.parseInt(length));
        return text.append(new String(body, StandardCharsets.ISO_8859_1)).toString();
    }

    /** Returns the value of a header field, or null if the message does not have the field. */
    public static String findHeader(String message, String name) {
        String head = message.substring(0, message.indexOf("\r\n\r\n"));
        for (String line : head.split("\r\n")) {
            if (line.toLowerCase(Locale.ROOT).startsWith(name.toLowerCase(Locale.ROOT) + ":")) {
                return line.substring(name.length() + 1).trim();
            }
        }
        return null;
    }

    @Override
    public void close() throws IOException {
        serverSocket.close();
        for (Socket socket : openConnections) {
            socket.close();
        }
    }

    private interface ThreadBody {
        void run() throws IOException, InterruptedException;
    }

    private static void startDaemon(ThreadBody body) {
        Thread thread = new Thread(() -> {
            try {
                body.run();
            } catch (IOException | InterruptedException e) {
                // The connection is closed, or the test has ended.
                return;
            }
        });
        thread.setDaemon(true);
        thread.start();
    }
}
