package tansypass.node;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** Opens service discovery and web servers for tests of a {@link RunningNode}, which each test starts itself. */
abstract class RunningNodeTestBase {
    FakeDiscovery discovery;
    FakePeer server;
    RunningNode node;
    private final List<FakePeer> webServers = new ArrayList<>();

    @BeforeEach
    final void openPeers() throws IOException {
        discovery = new FakeDiscovery();
        server = openWebServer(Fixture.RESPOND_OK);
    }

    /** Opens a web server that is closed after the test. */
    final FakePeer openWebServer(FakePeer.Script script) throws IOException {
        FakePeer webServer = new FakePeer(script);
        webServers.add(webServer);
        return webServer;
    }

    @AfterEach
    final void closePeers() throws IOException {
        if (node != null) {
            node.close();
        }
        discovery.close();
        for (FakePeer webServer : webServers) {
            webServer.close();
        }
    }
}
