package tansypass.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** The texts with which the simulator logs the load balancer's notifications, which must not change. */
class SimulatorLogTextTest {

    @Test
    void notificationsAreWrittenAsNotes() throws IOException {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        SimulatorResponse response = new SimulatorResponse(output);
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
                """, output.toString(StandardCharsets.UTF_8));
    }
}
