package tansypass.testbed.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import tansypass.cluster.runtime.RandomStreams;
import tansypass.testbed.model.LinkState.Direction;
import tansypass.testbed.scenario.Scenario.Fault;
import tansypass.testbed.scenario.Scenario.FaultDirection;
import tansypass.testbed.scenario.Scenario.Kind;

class LinkStateTest {
    private final LinkState link = new LinkState(100, RandomStreams.of(1, "link"));

    private static Fault fault(Kind kind, FaultDirection direction, double amount, long timeUs) {
        return new Fault(kind, 0, 0, List.of("node-0", "server-0"), direction, amount, timeUs);
    }

    @Test
    void overlappingFaultsEndIndependently() {
        Fault first = fault(Kind.CUT, FaultDirection.BOTH, 0, 0);
        Fault second = fault(Kind.CUT, FaultDirection.BACK, 1, 0);
        link.apply(first, true);
        link.apply(second, true);
        link.apply(first, false);
        assertFalse(link.isCut(Direction.THERE));
        assertTrue(link.isCut(Direction.BACK));
        assertTrue(link.blocksHandshakes());
        link.apply(second, false);
        assertFalse(link.blocksHandshakes());
    }

    @Test
    void addsDelaysAndKeepsStreamOrder() {
        Fault delay = fault(Kind.DELAY, FaultDirection.THERE, 0, 1_000);
        link.apply(delay, true);
        assertEquals(1_100, link.streamDueUs(Direction.THERE, 0, 10));
        assertEquals(100, link.streamDueUs(Direction.BACK, 0, 10));
        link.apply(delay, false);
        assertEquals(1_100, link.streamDueUs(Direction.THERE, 50, 10));
        assertEquals(1_300, link.streamDueUs(Direction.THERE, 1_200, 10));
    }

    @Test
    void queuesChunksUnderRateLimit() {
        link.apply(fault(Kind.RATE, FaultDirection.BOTH, 1_000, 0), true);
        assertEquals(100 + 500_000, link.streamDueUs(Direction.THERE, 0, 500));
        assertEquals(100 + 1_000_000, link.streamDueUs(Direction.THERE, 0, 500));
    }
}
