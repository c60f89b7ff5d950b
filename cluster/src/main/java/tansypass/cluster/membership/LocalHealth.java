package tansypass.cluster.membership;

/**
 * The local health multiplier of this process (Lifeguard, section IV A). The more evidence there is that this process
 * misses messages or handles them late, the longer it waits before it suspects other members.
 */
final class LocalHealth {
    private static final int MAX_SCORE = 8;

    private int score;

    /** Records a failure that this process itself may have caused, with its severity in points. */
    void degrade(int points) {
        score = Math.min(MAX_SCORE, score + points);
    }

    /** Records a probe that got an ack. */
    void improve() {
        score = Math.max(0, score - 1);
    }

    /** Returns the factor by which timeouts are extended; 1 for a healthy process. */
    int multiplier() {
        return score + 1;
    }
}
