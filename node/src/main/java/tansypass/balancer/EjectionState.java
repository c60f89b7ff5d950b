package tansypass.balancer;

import java.util.SplittableRandom;

/** Whether one server is ejected, and the outcomes that decide it. Times are microseconds of the caller's clock. */
final class EjectionState {
    /** Number of latest outcomes that are remembered. */
    private static final int WINDOW = 16;

    /** Mean of the first time without requests, doubled with each half-open probe that fails. */
    private static final long FIRST_EJECTION_US = 250_000;

    /** Largest mean of that time. */
    static final long MAX_EJECTION_US = 4_000_000;

    private final ResultHistory results = new ResultHistory(WINDOW);
    private final JitteredBackoff backoff = new JitteredBackoff(FIRST_EJECTION_US, MAX_EJECTION_US);
    private boolean ejected;
    private long halfOpenAtUs;
    private int halfOpenSuccesses;
    private long lastSuccessAtUs;

    boolean isEjected() {
        return ejected;
    }

    /** Whether the server is ejected and may get a half-open probe: a single request. */
    boolean isHalfOpen(long nowUs) {
        return ejected && nowUs >= halfOpenAtUs;
    }

    /** Whether the server has succeeded within the longest time of an ejection. */
    boolean hasSucceededLately(long nowUs) {
        return nowUs < lastSuccessAtUs + MAX_EJECTION_US;
    }

    /** Failures among the latest outcomes. */
    int failures() {
        return results.failures();
    }

    /** Half-open probes that have succeeded in a row. */
    int halfOpenSuccesses() {
        return halfOpenSuccesses;
    }

    void recordFailure() {
        results.add(true);
        halfOpenSuccesses = 0;
    }

    void recordSuccess(long nowUs) {
        lastSuccessAtUs = nowUs;
        results.add(false);
        if (ejected) {
            halfOpenAtUs = nowUs;
            halfOpenSuccesses++;
        }
    }

    /** Ejects the server, or extends its ejection if a half-open probe has failed. */
    void eject(long nowUs, SplittableRandom random) {
        if (!ejected) {
            backoff.reset();
            ejected = true;
        }
        halfOpenAtUs = nowUs + backoff.next(random);
    }

    /** Forgets the outcomes and ends an ejection. */
    void reset() {
        results.clear();
        ejected = false;
        halfOpenSuccesses = 0;
    }
}
