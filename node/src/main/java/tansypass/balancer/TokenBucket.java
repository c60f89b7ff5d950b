package tansypass.balancer;

import java.util.Arrays;

/** A token bucket whose rate may change from call to call. Times are microseconds of the caller's clock. */
final class TokenBucket {
    private double tokens;
    private long refilledAtUs;

    /** Creates an array of buckets, each of which is full at its first use. */
    static TokenBucket[] array(int length) {
        TokenBucket[] buckets = new TokenBucket[length];
        Arrays.setAll(buckets, i -> new TokenBucket());
        return buckets;
    }

    /**
     * Refills the bucket and takes one token if there is one.
     *
     * @param nowUs the current time, which never goes backwards
     * @param ratePerS number of tokens that are added per second, above 0
     * @param burstS capacity of the bucket in seconds of the rate; the capacity is at least one token
     * @return whether a token was taken
     */
    boolean tryTake(long nowUs, double ratePerS, double burstS) {
        double capacity = Math.max(1, ratePerS * burstS);
        double elapsedS = refilledAtUs == 0 ? burstS : (nowUs - refilledAtUs) / 1e6;
        refilledAtUs = nowUs;
        tokens = Math.min(capacity, tokens + ratePerS * elapsedS);
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
