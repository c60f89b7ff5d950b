package tansypass.balancer;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * Items in order of priority, highest first, and in order of arrival among equals.
 *
 * @param <T> the items
 */
final class PriorityList<T> {
    private final ArrayList<T> items = new ArrayList<>();
    private final Comparator<T> order;

    /**
     * An empty list.
     *
     * @param priority an item's priority; {@link #sort} is called after it has changed
     */
    PriorityList(ToDoubleFunction<T> priority) {
        order = Comparator.comparingDouble(item -> -priority.applyAsDouble(item));
    }

    boolean isEmpty() {
        return items.isEmpty();
    }

    int size() {
        return items.size();
    }

    /** The item at an index from 0, which has the highest priority. */
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

    /** Tests each item once, in order, and removes those that pass; the test must not change the list. */
    void removeIf(Predicate<T> test) {
        items.removeIf(test);
    }

    void sort() {
        items.sort(order);
    }
}
