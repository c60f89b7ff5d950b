package tansypass.balancer;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * A priority queue that is kept as a sorted list. Items of the same priority are in the order of their addition.
 *
 * @param <T> the type of the items
 */
final class StablePriorityQueue<T> {
    private final ArrayList<T> items = new ArrayList<>();
    private final Comparator<T> order;

    /**
     * Creates an empty queue.
     *
     * @param priority returns an item's priority; callers must call {@link #sort} after a priority has changed
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

    /** Returns the item at an index. The item at index 0 has the highest priority. */
    T get(int index) {
        return items.get(index);
    }

    /** Adds an item after all items of the same or a higher priority. */
    void add(T item) {
        int index = items.size();
        while (index > 0 && order.compare(items.get(index - 1), item) > 0) {
            index--;
        }
        items.add(index, item);
    }

    /** Removes the items that match a predicate, which must have no side effects. */
    void removeIf(Predicate<T> predicate) {
        items.removeIf(predicate);
    }

    /** Restores the order after priorities have changed. */
    void sort() {
        items.sort(order);
    }
}
