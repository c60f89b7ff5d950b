package tansypass.balancer;

import java.util.SplittableRandom;

/** The ejection state of one server, and its latest outcomes. Times are microseconds of the caller's clock. */
final class EjectionState {
    /** Number of latest outcomes in which failures are counted. */
    private static final int WINDOW_OUTCOMES = 16;

    /** Mean of the interval without requests after an ejection. It doubles with each half-open probe that fails. */
    private static final long FIRST_EJECTION_US = 250_000;

    /** Largest mean of the interval without requests. */
    static final long MAX_EJECTION_US = 4_000_000;

    private final ResultHistory results = new ResultHistory(WINDOW_OUTCOMES);
    private final JitteredBackoff backoff = new JitteredBackoff(FIRST_EJECTION_US, MAX_EJECTION_US);
    private boolean ejected;
    private long halfOpenAtUs;
    private int halfOpenSuccesses;
    private long lastSuccessAtUs;

    boolean isEjected() {
        return ejected;
    }

    /** Returns whether the server is ejected and may get a half-open probe, which is a single request. */
    boolean isHalfOpen(long nowUs) {
        return ejected && nowUs >= halfOpenAtUs;
    }

    /** Returns whether the last success is more recent than {@link #MAX_EJECTION_US}. */
    boolean hasSucceededRecently(long nowUs) {
        return nowUs < lastSuccessAtUs + MAX_EJECTION_US;
    }

    /** Returns the number of failures among the latest outcomes. */
    int failures() {
        return results.failures();
    }

    /** Returns the number of half-open probes that have succeeded in a row. */
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
        halfOpenAtUs = nowUs + backoff.nextDelayUs(random);
    }

    /** Discards the outcomes and ends an ejection. */
    void reset() {
        results.clear();
        ejected = false;
        halfOpenSuccesses = 0;
    }
}
