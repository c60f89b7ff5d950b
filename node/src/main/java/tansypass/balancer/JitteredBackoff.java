package tansypass.balancer;

import java.util.SplittableRandom;

/** Delays that double up to a maximum, each with a jitter: between a half and one and a half of its length. */
final class JitteredBackoff {
    private final long firstUs;
    private final long maxUs;
    private long lengthUs;

    /**
     * A backoff that starts with the first length.
     *
     * @param firstUs first length in microseconds, above 0
     * @param maxUs longest length after the first, above 0
     */
    JitteredBackoff(long firstUs, long maxUs) {
        this.firstUs = firstUs;
        this.maxUs = maxUs;
        lengthUs = firstUs;
    }

    /** The next delay in microseconds. */
    long next(SplittableRandom random) {
        long delayUs = lengthUs / 2 + random.nextLong(lengthUs);
        lengthUs = Math.min(2 * lengthUs, maxUs);
        return delayUs;
    }

    /** Starts with the first length again. */
    void reset() {
        lengthUs = firstUs;
    }
}
