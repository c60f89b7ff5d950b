package tansypass.node.discovery;

import java.util.SplittableRandom;

/**
 * Computes delays between retries. The delay doubles with each retry up to a maximum. It has random jitter, so that
 * nodes that failed at the same time do not retry at the same time. Not thread-safe.
 */
public final class ExponentialBackoff {
    private final SplittableRandom random;
    private final long initialDelayMs;
    private final long maxDelayMs;
    private long currentDelayMs;

    /**
     * Creates a backoff that starts at its initial delay.
     *
     * @param seed the seed of the jitter's random numbers
     * @param initialDelayMs the first delay before jitter, in milliseconds
     * @param maxDelayMs the longest delay before jitter, in milliseconds
     */
    public ExponentialBackoff(long seed, long initialDelayMs, long maxDelayMs) {
        random = new SplittableRandom(seed);
        this.initialDelayMs = initialDelayMs;
        this.maxDelayMs = maxDelayMs;
        currentDelayMs = initialDelayMs;
    }

    /**
     * Returns the delay before the next retry, and doubles the current delay.
     *
     * @return the delay in milliseconds, uniformly distributed between 0.5 and 1.5 times the current delay
     */
    public long nextDelayMs() {
        long delayMs = currentDelayMs / 2 + random.nextLong(currentDelayMs + 1);
        currentDelayMs = Math.min(maxDelayMs, 2 * currentDelayMs);
        return delayMs;
    }

    /** Resets the current delay to the initial delay. Must be called after a success. */
    public void reset() {
        currentDelayMs = initialDelayMs;
    }
}
