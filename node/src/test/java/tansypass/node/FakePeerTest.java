package tansypass.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** The scripted server that other tests rely on. */
class FakePeerTest {

    /** A socket whose output another thread shuts down as soon as something has been written. */
    private static final class ShutDownAfterWrite extends Socket {
        final ByteArrayOutputStream written = new ByteArrayOutputStream();

        @Override
        public OutputStream getOutputStream() throws SocketException {
            if (written.size() > 0) {
                throw new SocketException("Socket output is shutdown");
            }
            return written;
        }
    }

    @Test
    void writingSucceedsIfTheOutputIsShutDownOnceAllIsWritten() throws Exception {
        try (ShutDownAfterWrite socket = new ShutDownAfterWrite()) {
            FakePeer.write(socket, "hello");
            assertEquals("hello", socket.written.toString(StandardCharsets.ISO_8859_1));
        }
    }
}
