package tansypass.testbed.invariant;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** Records the trace of a run's events, which includes violations, and keeps the first violations. Not thread-safe. */
final class ViolationRecorder {
    /** The number of violations that are kept; later ones are only counted. */
    private static final int MAX_VIOLATIONS = 100;

    private final TraceDigest trace = new TraceDigest();
    private final List<Violation> violations = new ArrayList<>();
    private int violationCount;

    /** Adds an event to the trace. */
    void trace(long nowUs, String event, String subject, long detail) {
        trace.addLong(nowUs);
        trace.addText(event);
        trace.addText(subject);
        trace.addLong(detail);
    }

    /** Records a violation. Its description is part of the trace, so a changed description changes recorded hashes. */
    void recordViolation(Invariant invariant, long nowUs, String description) {
        violationCount++;
        trace(nowUs, "breach " + invariant, description, 0);
        if (violations.size() < MAX_VIOLATIONS) {
            violations.add(new Violation(invariant, nowUs, description));
        }
    }

    /** Returns the violations in order; only the first 100 are kept. */
    List<Violation> violations() {
        return Collections.unmodifiableList(violations);
    }

    /** Returns the number of violations, including those that were not kept. */
    int violationCount() {
        return violationCount;
    }

    /** Returns a hash of the trace: two runs with the same events in the same order have the same hash. */
    String traceHash() {
        return trace.hash();
    }
}
