package tansypass.testbed.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import tansypass.cluster.membership.MemberState;

/** Tests the anomaly recorder that the other membership tests rely on, and the trace of a cluster. */
class MembershipViewRecorderTest extends MembershipTestCase {
    @Test
    void listenerDetectsInventedMember() {
        SimulatedCluster cluster = startCluster(17, 3);
        cluster.injectDatagram(0, forged("node-1", "fake", 1, MemberState.ALIVE, 0));
        assertTrue(anomalies().get(0).startsWith("invented"), anomalies().toString());
    }

    @Test
    void equalSeedsGiveEqualTraces() {
        List<String> traces = new ArrayList<>();
        for (long seed : new long[] {5, 5, 6}) {
            SimulatedCluster cluster = startCluster(seed, 20);
            cluster.setLossRate(0.1);
            cluster.kill(3);
            cluster.run(60 * SECOND_US);
            traces.add(cluster.traceHash());
        }
        assertEquals(traces.get(0), traces.get(1));
        assertNotEquals(traces.get(0), traces.get(2));
    }
}
