package tansypass.node;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.SplittableRandom;

/** Writes and reads long HTTP bodies part by part on plain sockets. */
final class HttpStreams {
    /** The length of the body in bytes. A node streams a message of this length instead of buffering it. */
    static final int LENGTH = 300_000;

    private static final byte[] BODY = new byte[LENGTH];

    static {
        new SplittableRandom(5).nextBytes(BODY);
    }

    private HttpStreams() {}

    /** Returns a copy of the body that {@link #write} sends. */
    static byte[] body() {
        return BODY.clone();
    }

    /** Writes a range of the body's bytes; the end index is exclusive. */
    static void write(Socket socket, int startIndex, int endIndex) throws IOException {
        socket.getOutputStream().write(BODY, startIndex, endIndex - startIndex);
    }

    /** Reads the head of a message but not its body. Throws EOFException if the head is incomplete. */
    static String readHead(Socket socket) throws IOException {
        return readUntil(socket.getInputStream(), "\r\n\r\n");
    }

    /** Reads a complete chunked body. Throws EOFException if it is incomplete. */
    static byte[] readChunkedBody(Socket socket) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        InputStream in = socket.getInputStream();
        while (true) {
            int size = readChunkSize(socket);
            body.write(in.readNBytes(size));
            in.readNBytes(2);
            if (size == 0) {
                return body.toByteArray();
            }
        }
    }

    /** Reads the line that gives the size of a chunk, and returns the size. */
    static int readChunkSize(Socket socket) throws IOException {
        return Integer.parseInt(readUntil(socket.getInputStream(), "\r\n").trim(), 16);
    }

    private static String readUntil(InputStream in, String terminator) throws IOException {
        StringBuilder text = new StringBuilder();
        while (text.indexOf(terminator) < 0) {
            int nextByte = in.read();
            if (nextByte < 0) {
                throw new EOFException("ended after " + text);
            }
            text.append((char) nextByte);
        }
        return text.toString();
    }
}
