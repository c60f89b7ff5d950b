package tansypass.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Many clients that send many short requests at once, on a node with the memory limits of the platform's command. */
@Timeout(120)
class PipelinedCommandsTest extends MemoryLimitedNodeTestBase {
    private static final int DESCRIPTORS = 384;
    private static final int FLOODING_CLIENTS = 90;
    /** More than one read buffer holds, whose largest size is 32 KiB. */
    private static final int FLOOD_BYTES = 40 * 1024;
    /** Raises the size of a connection's next reads to the largest one. */
    private static final int UPLOAD_BYTES = 60_000;

    private static final int ORDINARY_REQUESTS = 30;
    private static final long SEED = 49;

    private final List<Socket> clients = new ArrayList<>();
    private final CountDownLatch flooding = new CountDownLatch(FLOODING_CLIENTS);

    @AfterEach
    void closeClients() throws IOException {
        for (Socket client : clients) {
            client.close();
        }
    }

    /** Guards against a heap that is used up by decoded short requests, after which the process exits. */
    @Test
    void servesOthersAndSurvivesWhileManyClientsSendShortRequestsAtOnce() throws Exception {
        startNode(DESCRIPTORS);
        SplittableRandom random = new SplittableRandom(SEED);
        for (int i = 0; i < FLOODING_CLIENTS; i++) {
            Socket client = connect();
            clients.add(client);
            for (int upload = 0; upload < 2; upload++) {
                FakePeer.write(
                        client,
                        Fixture.formatRequest("POST", "/order", 1_000 + 2 * i + upload, "", "x".repeat(UPLOAD_BYTES)));
                assertTrue(FakePeer.readMessage(client).startsWith("HTTP/1.1 200"));
            }
            String command = random.nextBoolean() ? "GET / HTTP/1.1\r\n\r\n" : "GET /ready HTTP/1.1\r\n\r\n";
            startFlood(client, command.repeat(FLOOD_BYTES / command.length()));
        }
        assertTrue(flooding.await(FakePeer.AWAIT_TIMEOUT_S, TimeUnit.SECONDS));
        for (int i = 0; i < ORDINARY_REQUESTS; i++) {
            assertNotLost(i);
        }
        assertTrue(process.isAlive(), () -> process.killAndReadOutput());
        assertEquals(FLOODING_CLIENTS, clients.size());
    }

    /** Sends the commands and discards the responses, on a thread of its own. */
    private void startFlood(Socket client, String commands) {
        Thread thread = new Thread(() -> {
            flooding.countDown();
            try {
                flooding.await();
                FakePeer.write(client, commands);
                client.getInputStream().skip(Long.MAX_VALUE);
            } catch (IOException | InterruptedException e) {
                // The test has ended.
                return;
            }
        });
        thread.setDaemon(true);
        thread.start();
    }
}
