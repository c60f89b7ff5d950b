package tansypass.node;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Clients that disconnect while a web server reads their long request slowly, where attempts may not be cancelled. */
@Timeout(120)
class LeftUploadTest extends RunningNodeTestBase {
    /** More than the sockets hold between the node and the web server, and less than that and the node's buffers. */
    private static final int BODY_BYTES = 300_000;

    private static final int SERVER_RECEIVE_BUFFER_BYTES = 4_096;
    private static final String LAST_CHUNK = "\r\n0\r\n\r\n";

    private final ServerSocket listener = new ServerSocket();
    private Socket client;

    LeftUploadTest() throws IOException {}

    @BeforeEach
    void startNodeWithoutCancels() throws Exception {
        listener.setReceiveBufferSize(SERVER_RECEIVE_BUFFER_BYTES);
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        JsonObject config = Fixture.createConfig(discovery.peer, server);
        config.getAsJsonObject("settings").getAsJsonObject("limits").addProperty("cancelling", false);
        config.getAsJsonObject("known")
                .getAsJsonArray("targets")
                .get(0)
                .getAsJsonObject()
                .addProperty("endpoint", "127.0.0.1:" + listener.getLocalPort());
        node = new RunningNode(config);
        client = node.connect();
    }

    @AfterEach
    void closeListener() throws IOException {
        listener.close();
    }

    private void sendRequest(boolean chunked) throws IOException {
        String head = Fixture.formatRequest("POST", "/order", 1, "", "");
        String body = "x".repeat(BODY_BYTES);
        if (chunked) {
            FakePeer.write(client, head.replace("Content-Length: 0", "Transfer-Encoding: chunked"));
            FakePeer.write(client, Integer.toHexString(BODY_BYTES) + "\r\n" + body + LAST_CHUNK);
        } else {
            FakePeer.write(client, head.replace("Content-Length: 0", "Content-Length: " + BODY_BYTES) + body);
        }
    }

    /**
     * Guards against a web server that runs a part of a request, whose end was dropped when its client left, and
     * against a connection to it that stays open because nobody ends the attempt.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void closesConnectionInTheMiddleOfRequestWhoseClientHasLeft(boolean chunked) throws Exception {
        sendRequest(chunked);
        try (Socket attemptSocket = listener.accept()) {
            attemptSocket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(FakePeer.AWAIT_TIMEOUT_S));
            node.awaitMetric("in_flight", 1);
            client.close();
            node.awaitMetric("in_flight", 0);
            String forwarded = new String(attemptSocket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            assertTrue(forwarded.length() < BODY_BYTES, "the web server got all of it");
            assertFalse(forwarded.endsWith(LAST_CHUNK), "ended as if it were complete");
        }
    }
}
