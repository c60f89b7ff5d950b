package tansypass.balancer;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * A priority queue in a sorted list: highest priority first, and first come, first served among equals.
 *
 * @param <T> the items
 */
final class StablePriorityQueue<T> {
    private final ArrayList<T> items = new ArrayList<>();
    private final Comparator<T> order;

    /**
     * An empty queue.
     *
     * @param priority an item's priority; {@link #sort} is called after it has changed
     */
    StablePriorityQueue(ToDoubleFunction<T> priority) {
        order = Comparator.comparingDouble(item -> -priority.applyAsDouble(item));
    }

    boolean isEmpty() {
        return items.isEmpty();
    }

    int size() {
        return items.size();
    }

    /** The item at an index; the one at 0 has the highest priority. */
    T get(int index) {
        return items.get(index);
    }

    /** Adds an item after all of its priority or a higher one. */
    void add(T item) {
        int index = items.size();
        while (index > 0 && order.compare(items.get(index - 1), item) > 0) {
            index--;
        }
        items.add(index, item);
    }

    /** Removes the items that pass a test, which has no side effects. */
    void removeIf(Predicate<T> test) {
        items.removeIf(test);
    }

    /** Restores the order after priorities have changed. */
    void sort() {
        items.sort(order);
    }
}
