package tansypass.testbed.invariant;

/** Tolerances, in microseconds, by which events may be late without being a violation. */
final class TimeTolerance {
    /** The amount by which every time limit is longer on sockets (PROTOCOL, rules on sockets). */
    static final long TIMING_SLACK_US = 50_000;
    /** A response that is late by up to this much is worthless but not a violation (STANDING). */
    static final long LATE_RESPONSE_TOLERANCE_US = 500_000;

    private TimeTolerance() {}
}
