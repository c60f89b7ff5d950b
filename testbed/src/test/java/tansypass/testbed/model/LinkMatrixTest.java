package tansypass.testbed.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import tansypass.testbed.scenario.Scenario.Fault;
import tansypass.testbed.scenario.Scenario.FaultDirection;
import tansypass.testbed.scenario.Scenario.Kind;

/** Tests the effects of faults and filters on datagrams between nodes. */
class LinkMatrixTest {
    private final LinkMatrix linkMatrix = new LinkMatrix(1, (from, to) -> 10);

    private static Fault fault(Kind kind, FaultDirection direction, double amount, long timeUs) {
        return new Fault(kind, 0, 0, List.of("node-0", "node-1"), direction, amount, timeUs);
    }

    @Test
    void cutBlocksOnlyItsDirection() {
        Fault cut = fault(Kind.CUT, FaultDirection.THERE, 1, 0);
        linkMatrix.apply(0, 1, cut, true);
        assertEquals(List.of(), linkMatrix.datagramDueUs(0, 1, 5, 100));
        assertEquals(List.of(15L), linkMatrix.datagramDueUs(1, 0, 5, 100));
        assertTrue(linkMatrix.isCut(0, 1));
        linkMatrix.apply(0, 1, cut, false);
        assertFalse(linkMatrix.isCut(0, 1));
        linkMatrix.apply(0, 1, fault(Kind.CUT, FaultDirection.BACK, 1, 0), true);
        assertEquals(List.of(), linkMatrix.datagramDueUs(1, 0, 5, 100));
        assertEquals(List.of(15L), linkMatrix.datagramDueUs(0, 1, 5, 100));
    }

    @Test
    void losesDuplicatesOrReordersConfiguredShare() {
        for (Kind kind : List.of(Kind.LOSS, Kind.DUPLICATE, Kind.REORDER)) {
            LinkMatrix faultyLinks = new LinkMatrix(2, (from, to) -> 0);
            faultyLinks.apply(0, 1, fault(kind, FaultDirection.BOTH, 0.3, 50), true);
            List<List<Long>> arrivalTimes = IntStream.range(0, 10_000)
                    .mapToObj(i -> faultyLinks.datagramDueUs(0, 1, 0, 1))
                    .toList();
            List<Long> selectedTimes =
                    kind == Kind.LOSS ? List.of() : kind == Kind.REORDER ? List.of(50L) : List.of(0L, 0L);
            assertEquals(
                    0.3, arrivalTimes.stream().filter(selectedTimes::equals).count() / 1e4, 0.02, kind.toString());
            assertEquals(
                    10_000,
                    arrivalTimes.stream()
                            .filter(times -> times.equals(selectedTimes) || times.equals(List.of(0L)))
                            .count());
        }
    }

    @Test
    void filterBlocksOnlyItsDirection() {
        linkMatrix.setFilter((from, to) -> from != 0);
        assertTrue(linkMatrix.isCut(0, 1));
        assertFalse(linkMatrix.isCut(1, 0));
        linkMatrix.setFilter((from, to) -> true);
        assertFalse(linkMatrix.isCut(0, 1));
    }
}
