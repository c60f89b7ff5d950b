package tansypass.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Requests whose id was used before by a client that has left. */
@Timeout(120)
class RepeatedIdTest extends RunningNodeTestBase {
    private String send(String method, String path, long id, String headers) throws Exception {
        try (Socket client = node.connect()) {
            FakePeer.write(client, Fixture.formatRequest(method, path, id, headers, ""));
            return FakePeer.readMessage(client);
        }
    }

    /** Sends a request, and leaves while a web server is working on it. */
    private void sendAndLeave(String method, String path, long id, String headers) throws Exception {
        server.setScript(FakePeer.SILENT);
        Socket client = node.connect();
        FakePeer.write(client, Fixture.formatRequest(method, path, id, headers, ""));
        server.nextRequest();
        client.close();
        node.awaitMetric("in_flight", 0);
        // The web server learns that its connection is closed, which ends the attempt.
        FakePeer.awaitNext(server.closedConnections);
        server.setScript(Fixture.RESPOND_OK);
    }

    /** Guards against a request that may not be repeated, and runs twice because its id comes again. */
    @ParameterizedTest
    @CsvSource({"POST, /order, ''", "POST, /photo, Idempotency-Key: k"})
    void requestThatMayHaveRunIsNotRunAgainAfterItsClientLeft(String method, String path, String header)
            throws Exception {
        node = new RunningNode(Fixture.createConfig(discovery.peer, server));
        String headers = header.isEmpty() ? "" : header + "\r\n";
        sendAndLeave(method, path, 1, headers);
        String response = send(method, path, 1, headers);
        assertTrue(response.startsWith("HTTP/1.1 409"), response);
        assertEquals(0, server.requests.size());
        assertTrue(send(method, path, 2, headers).startsWith("HTTP/1.1 200"));
    }

    @Test
    void idempotentRequestMayRunAgainAfterItsClientLeft() throws Exception {
        node = new RunningNode(Fixture.createConfig(discovery.peer, server));
        sendAndLeave("GET", "/view", 1, "");
        assertTrue(send("GET", "/view", 1, "").startsWith("HTTP/1.1 200"));
        assertEquals(1, server.requests.size());
        assertTrue(server.nextRequest().startsWith("GET /view "));
    }
}
