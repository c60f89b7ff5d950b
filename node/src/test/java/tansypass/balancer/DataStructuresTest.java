package tansypass.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** General data structures of the load balancer. */
class DataStructuresTest {
    private static final double TOLERANCE = 1e-12;

    private static List<String> contents(StablePriorityQueue<String> queue) {
        List<String> items = new ArrayList<>();
        queue.removeIf(item -> {
            items.add(item);
            return false;
        });
        return items;
    }

    @Test
    void priorityQueueKeepsArrivalOrderAmongEquals() {
        StablePriorityQueue<String> queue = new StablePriorityQueue<>(String::length);
        List.of("b", "cc", "a", "dd").forEach(queue::add);
        assertEquals(List.of("cc", "dd", "b", "a"), contents(queue));
        queue.removeIf(item -> item.equals("dd"));
        assertEquals(List.of("cc", "b", "a"), contents(queue));
    }

    @Test
    void priorityQueueSortsAfterPrioritiesHaveChanged() {
        List<String> lowPriorityItems = new ArrayList<>();
        StablePriorityQueue<String> queue = new StablePriorityQueue<>(item -> lowPriorityItems.contains(item) ? 0 : 1);
        List.of("a", "b", "c").forEach(queue::add);
        lowPriorityItems.add("a");
        queue.sort();
        assertEquals(List.of("b", "c", "a"), contents(queue));
    }

    @Test
    void resultHistoryDropsResultsOutsideWindow() {
        ResultHistory history = new ResultHistory(3);
        history.add(true);
        history.add(true);
        history.add(false);
        assertEquals(2, history.failures());
        history.add(false);
        assertEquals(1, history.failures());
        history.clear();
        assertEquals(0, history.failures());
    }

    @Test
    void ewmaMovesTowardsNewValueByGain() {
        Ewma average = new Ewma(0.25, 1);
        average.add(0);
        average.add(0);
        assertEquals(0.5625, average.value(), TOLERANCE);
    }

    @Test
    void decayingEwmaDecaysToBaselineWithoutNewValues() {
        DecayingEwma average = new DecayingEwma(0.5, 1);
        average.add(5, 1_000, 100);
        assertEquals(3, average.value(1_000, 100), TOLERANCE);
        assertEquals(1 + 2 / Math.E, average.value(1_100, 100), TOLERANCE);
    }

    @Test
    void meanHasNoMinimumUntilThereAreEnoughValues() {
        MeanWithDriftingMinimum mean = new MeanWithDriftingMinimum(0.5, 1.5, 2);
        assertEquals(0, mean.minimum(), TOLERANCE);
        mean.add(4);
        assertEquals(Double.MAX_VALUE, mean.minimum(), TOLERANCE);
        mean.add(4);
        assertEquals(4, mean.minimum(), TOLERANCE);
        mean.add(20);
        assertEquals(12, mean.mean(), TOLERANCE);
        assertEquals(6, mean.minimum(), TOLERANCE);
        assertTrue(mean.minimum() < mean.mean());
    }
}
