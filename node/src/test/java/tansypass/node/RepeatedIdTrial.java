package tansypass.node;

import com.google.gson.JsonObject;
import java.io.IOException;
import java.net.ConnectException;
import java.net.Socket;

/**
 * A trial of two processes, as in an upgrade: a client sends a request that may not be repeated to one process and
 * leaves, and the id comes again at the other. Exits with 0 if the request ran once, and with 1 if it ran twice. It is
 * no test of the suite: see KNOWN-RED.txt.
 */
public final class RepeatedIdTrial {
    private RepeatedIdTrial() {}

    /** Runs the trial. */
    public static void main(String[] args) throws Exception {
        FakePeer discovery = new FakePeer(FakePeer.SILENT);
        FakePeer server = new FakePeer(FakePeer.SILENT);
        int runs = 0;
        for (int process = 0; process < 2; process++) {
            runs += runInProcess(discovery, server);
        }
        System.out.println("one request of the class order, sent to two processes with the same id, ran " + runs);
        System.exit(runs > 1 ? 1 : 0);
    }

    /** Sends the request to a new process, and returns how often the web server got it. */
    private static int runInProcess(FakePeer discovery, FakePeer server) throws Exception {
        try (Socket reservation = Fixture.reservePort()) {
            JsonObject config = Fixture.createConfig(discovery, server);
            config.addProperty("listen", "127.0.0.1:" + reservation.getLocalPort());
            ChildNodeProcess process = new ChildNodeProcess(
                    Main.class, Fixture.writeConfigFile(config).toString(), "");
            try (Socket client = connect(reservation.getLocalPort())) {
                FakePeer.write(client, Fixture.formatRequest("POST", "/order", 1, "", ""));
                server.nextRequest();
                return 1;
            } finally {
                process.kill();
            }
        }
    }

    /** Connects once the process listens. */
    private static Socket connect(int port) throws IOException {
        while (true) {
            try {
                return Fixture.connect(port);
            } catch (ConnectException e) {
                Thread.onSpinWait();
            }
        }
    }
}
