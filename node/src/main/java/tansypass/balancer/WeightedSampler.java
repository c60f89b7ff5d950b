package tansypass.balancer;

import java.util.Arrays;
import java.util.SplittableRandom;
import java.util.function.ToDoubleFunction;

/**
 * Draws items at random by weight, in logarithmic time as long as the filter accepts most items.
 *
 * @param <T> the type of the items
 * @param <C> the type of the context of a draw, such as the request that a server is drawn for
 */
final class WeightedSampler<T, C> {
    /**
     * Decides whether an item may be drawn.
     *
     * @param <C> the type of the context of a draw
     * @param <T> the type of the items
     */
    interface Filter<C, T> {
        /** Returns whether the item may be drawn now. An implementation may record that it has refused the item. */
        boolean accept(C context, T item, long nowUs);
    }

    private final T[] items;
    private final double[] cumulativeWeights;
    private final ToDoubleFunction<T> weightFunction;
    private final Filter<C, T> filter;

    /** Creates a sampler of these items. Callers must call {@link #update} before the first draw. */
    WeightedSampler(T[] items, ToDoubleFunction<T> weightFunction, Filter<C, T> filter) {
        this.items = items;
        this.weightFunction = weightFunction;
        this.filter = filter;
        cumulativeWeights = new double[items.length];
    }

    /** Recomputes the cumulative weights after weights have changed. */
    void update() {
        double sum = 0;
        for (int i = 0; i < items.length; i++) {
            sum += weightFunction.applyAsDouble(items[i]);
            cumulativeWeights[i] = sum;
        }
    }

    /**
     * Draws one of the items that the filter accepts, except {@code excluded}; returns null if there is none.
     *
     * @param maxRedraws largest number of further draws after an item that is not accepted; then all items are checked
     */
    T drawOrNull(SplittableRandom random, int maxRedraws, C context, T excluded, long nowUs) {
        for (int i = 0; i <= maxRedraws && items.length > 0; i++) {
            T item = items[indexOf(random.nextDouble())];
            if (item != excluded && filter.accept(context, item, nowUs)) {
                return item;
            }
        }
        // The filter accepts few items: draw by one pass of weighted reservoir sampling.
        T drawn = null;
        double totalWeight = 0;
        for (T item : items) {
            if (item != excluded && filter.accept(context, item, nowUs)) {
                double itemWeight = weightFunction.applyAsDouble(item);
                totalWeight += itemWeight;
                if (random.nextDouble() * totalWeight < itemWeight) {
                    drawn = item;
                }
            }
        }
        return drawn;
    }

    /** Returns the index of the item that a uniform random number in [0, 1) selects. */
    private int indexOf(double uniform) {
        int last = cumulativeWeights.length - 1;
        int searchResult = Arrays.binarySearch(cumulativeWeights, uniform * cumulativeWeights[last]);
        int firstAbove = searchResult < 0 ? -1 - searchResult : searchResult + 1;
        return Math.min(last, firstAbove);
    }
}
