package tansypass.balancer;

import java.util.Arrays;
import java.util.SplittableRandom;
import java.util.function.ToDoubleFunction;

/**
 * Draws items at random by weight, in logarithmic time as long as most items are accepted.
 *
 * @param <T> the items
 * @param <C> what an item is drawn for
 */
final class WeightedSampler<T, C> {
    /**
     * Decides whether an item may be drawn.
     *
     * @param <C> what an item is drawn for
     * @param <T> the items
     */
    interface Filter<C, T> {
        /** Returns whether the item may be drawn now; it may record that it was not. */
        boolean accept(C purpose, T item, long nowUs);
    }

    private final T[] items;
    private final double[] sums;
    private final ToDoubleFunction<T> weight;
    private final Filter<C, T> filter;

    /** A sampler of these items; {@link #update} is called before the first draw. */
    WeightedSampler(T[] items, ToDoubleFunction<T> weight, Filter<C, T> filter) {
        this.items = items;
        this.weight = weight;
        this.filter = filter;
        sums = new double[items.length];
    }

    /** Computes the sums of the items' weights anew. */
    void update() {
        double sum = 0;
        for (int i = 0; i < items.length; i++) {
            sum += weight.applyAsDouble(items[i]);
            sums[i] = sum;
        }
    }

    /**
     * Draws one of the items that are accepted, but for {@code except}; null if there is none.
     *
     * @param redraws how often an item that is not accepted is drawn again before all are looked through
     */
    T drawOrNull(SplittableRandom random, int redraws, C purpose, T except, long nowUs) {
        for (int i = 0; i <= redraws && items.length > 0; i++) {
            T item = items[position(random.nextDouble())];
            if (item != except && filter.accept(purpose, item, nowUs)) {
                return item;
            }
        }
        // Few are accepted: one pass of weighted reservoir sampling.
        T drawn = null;
        double total = 0;
        for (T item : items) {
            if (item != except && filter.accept(purpose, item, nowUs)) {
                double itemWeight = weight.applyAsDouble(item);
                total += itemWeight;
                if (random.nextDouble() * total < itemWeight) {
                    drawn = item;
                }
            }
        }
        return drawn;
    }

    private int position(double uniform) {
        int last = sums.length - 1;
        int found = Arrays.binarySearch(sums, uniform * sums[last]);
        int firstAbove = found < 0 ? -1 - found : found + 1;
        return Math.min(last, firstAbove);
    }
}
