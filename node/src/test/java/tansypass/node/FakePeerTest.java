package tansypass.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Tests of the scripted server that other tests use. */
class FakePeerTest {

    /** A socket whose output is shut down as soon as something has been written, as if by another thread. */
    private static final class ShutDownAfterWriteSocket extends Socket {
        final ByteArrayOutputStream writtenBytes = new ByteArrayOutputStream();

        @Override
        public OutputStream getOutputStream() throws SocketException {
            if (writtenBytes.size() > 0) {
                throw new SocketException("Socket output is shutdown");
            }
            return writtenBytes;
        }
    }

    @Test
    void writingSucceedsIfTheOutputIsShutDownOnceAllIsWritten() throws Exception {
        try (ShutDownAfterWriteSocket socket = new ShutDownAfterWriteSocket()) {
            FakePeer.write(socket, "hello");
            assertEquals("hello", socket.writtenBytes.toString(StandardCharsets.ISO_8859_1));
        }
    }
}
