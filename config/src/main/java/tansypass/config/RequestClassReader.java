package tansypass.config;

import tansypass.config.NodeFile.DeduplicationScope;
import tansypass.config.NodeFile.Idempotency;

/**
 * Reads the keys that a request class has both in the files of nodes and in those of scenarios. The order of the calls
 * is that in which errors list the known keys.
 */
public final class RequestClassReader {
    private static final long MIN_LATENCY_US = 1_000;

    private final TomlTableReader table;
    private final long maxDurationUs;

    /** Creates a reader of one class, none of whose durations may be longer than this, in microseconds. */
    public RequestClassReader(TomlTableReader table, long maxDurationUs) {
        this.table = table;
        this.maxDurationUs = maxDurationUs;
    }

    /** Returns whether a request may be executed more than once; it may not if the file doesn't say. */
    public Idempotency readIdempotency() {
        return table.getEnum("repeat", Idempotency.class, Idempotency.UNSAFE);
    }

    /** Returns the servers that deduplicate a request; all if the file doesn't say. */
    public DeduplicationScope readDeduplicationScope() {
        return table.getEnum("group", DeduplicationScope.class, DeduplicationScope.ALL);
    }

    /** Returns for how long servers deduplicate, in microseconds, or the default if it is missing. */
    public long readDeduplicationWindowUs(long defaultUs) {
        return table.getDurationUs("window", 0, maxDurationUs, defaultUs);
    }

    /** Returns the required latency objective, in microseconds. */
    public long requireLatencyObjectiveUs() {
        return table.requireDurationUs("aim", MIN_LATENCY_US, maxDurationUs);
    }

    /** Returns the latency objective, in microseconds, or the default if it is missing. */
    public long readLatencyObjectiveUs(long defaultUs) {
        return table.getDurationUs("aim", MIN_LATENCY_US, maxDurationUs, defaultUs);
    }

    /** Returns the required deadline, in microseconds. */
    public long requireDeadlineUs() {
        return table.requireDurationUs("deadline", MIN_LATENCY_US, maxDurationUs);
    }

    /** Returns the deadline, in microseconds, or the default if it is missing. */
    public long readDeadlineUs(long defaultUs) {
        return table.getDurationUs("deadline", MIN_LATENCY_US, maxDurationUs, defaultUs);
    }
}
