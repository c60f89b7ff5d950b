package tansypass.balancer;

import java.util.SplittableRandom;

/** Exponential backoff with jitter. The mean delay doubles up to a maximum; a delay is 0.5 to 1.5 times its mean. */
final class JitteredBackoff {
    private final long firstMeanUs;
    private final long maxMeanUs;
    private long meanUs;

    /**
     * Creates a backoff.
     *
     * @param firstMeanUs mean of the first delay in microseconds, above 0
     * @param maxMeanUs largest mean of the delays after the first, above 0
     */
    JitteredBackoff(long firstMeanUs, long maxMeanUs) {
        this.firstMeanUs = firstMeanUs;
        this.maxMeanUs = maxMeanUs;
        meanUs = firstMeanUs;
    }

    /** Returns the next delay in microseconds. */
    long nextDelayUs(SplittableRandom random) {
        long delayUs = meanUs / 2 + random.nextLong(meanUs);
        meanUs = Math.min(2 * meanUs, maxMeanUs);
        return delayUs;
    }

    /** Starts again with the first delay. */
    void reset() {
        meanUs = firstMeanUs;
    }
}
