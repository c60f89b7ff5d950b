package tansypass.node;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import java.io.IOException;
import java.net.Socket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** Opens service discovery and a web server, and reserves a port, for tests that start nodes on it. */
abstract class ReservedPortTestBase {
    FakePeer discovery;
    FakePeer server;
    int port;
    private Socket portReservation;

    @BeforeEach
    final void openPeers() throws IOException {
        discovery = new FakePeer(FakePeer.SILENT);
        server = new FakePeer(Fixture.RESPOND_OK);
        portReservation = Fixture.reservePort();
        port = portReservation.getLocalPort();
    }

    @AfterEach
    final void closePeers() throws IOException {
        discovery.close();
        server.close();
        portReservation.close();
    }

    /** Creates a configuration that listens on the reserved port. */
    final JsonObject createConfig() {
        JsonObject configJson = Fixture.createConfig(discovery, server);
        configJson.addProperty("listen", "127.0.0.1:" + port);
        return configJson;
    }

    /** Asserts that a request on a new connection is served. */
    final void assertServed(long id) throws IOException {
        try (Socket socket = connect()) {
            FakePeer.write(socket, Fixture.formatRequest("GET", "/view", id, "", ""));
            String response = FakePeer.readMessage(socket);
            assertNotNull(response, "request " + id + " was lost");
            assertTrue(response.startsWith("HTTP/1.1 200"), response);
        }
    }

    /** Opens a client connection to the reserved port. */
    final Socket connect() throws IOException {
        return Fixture.connect(port);
    }
}
