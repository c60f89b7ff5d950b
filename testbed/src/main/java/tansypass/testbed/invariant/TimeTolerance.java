package tansypass.testbed.invariant;

/** Tolerances, in microseconds, by which events may be late without being a violation. */
final class TimeTolerance {
    /** The platform's protocol allows every time limit to be exceeded by this much when the run uses real sockets. */
    static final long TIMING_SLACK_US = 50_000;
    /**
     * A response that arrives up to this much after its deadline has no value to the client, but the platform's rules
     * do not count it as a violation.
     */
    static final long LATE_RESPONSE_TOLERANCE_US = 500_000;

    private TimeTolerance() {}
}
