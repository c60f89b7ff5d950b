package tansypass.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** The texts of the balancer's notifications on the simulator's wire, which stay as they are. */
class SimulatorLogTextTest {

    @Test
    void notificationsAreWrittenAsNotes() throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        SimulatorResponse response = new SimulatorResponse(out);
        response.setNode("node-1");
        response.onNoServerReady(3);
        response.onServerEjected("10.0.0.7:8003", 4);
        response.onServerRestored("10.0.0.7:8003");
        response.flush();
        assertEquals("""
                record node=node-1 noteText=no server is ready, of 3 on the list
                record node=node-1 noteText=ejected server 10.0.0.7:8003 after 4 failures
                record node=node-1 noteText=restored server 10.0.0.7:8003
                next
                """, out.toString(StandardCharsets.UTF_8));
    }
}
