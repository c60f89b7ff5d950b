package tansypass.balancer;

import java.util.Arrays;

/** A token bucket on the caller's clock, in microseconds; its rate may change from call to call. */
final class TokenBucket {
    private double tokens;
    private long refilledAt;

    /** Creates so many buckets, each full at its first use. */
    static TokenBucket[] array(int length) {
        TokenBucket[] buckets = new TokenBucket[length];
        Arrays.setAll(buckets, i -> new TokenBucket());
        return buckets;
    }

    /**
     * Refills the bucket and takes one token if there is one.
     *
     * @param nowUs the time; never goes backwards
     * @param ratePerS tokens added in a second, above 0
     * @param burstS seconds of the rate that the bucket holds, and has at its first use; it holds one token at least
     * @return whether a token was taken
     */
    boolean tryTake(long nowUs, double ratePerS, double burstS) {
        double capacity = Math.max(1, ratePerS * burstS);
        double elapsedS = refilledAt == 0 ? burstS : (nowUs - refilledAt) / 1e6;
        refilledAt = nowUs;
        tokens = Math.min(capacity, tokens + ratePerS * elapsedS);
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
