package tansypass.config;

import tansypass.config.NodeFile.DeduplicationScope;
import tansypass.config.NodeFile.Idempotency;

/**
 * Reads the keys of a request class that exist both in the files of nodes and in the files of scenarios. Errors list
 * the known keys in the order in which the methods are called.
 */
public final class RequestClassReader {
    private static final long MIN_LATENCY_US = 1_000;

    private final TomlTableReader table;
    private final long maxDurationUs;

    /** Creates a reader of one class; {@code maxDurationUs} is the longest duration that its keys may have. */
    public RequestClassReader(TomlTableReader table, long maxDurationUs) {
        this.table = table;
        this.maxDurationUs = maxDurationUs;
    }

    /** Returns the idempotency of the class's requests; unsafe if the key is missing. */
    public Idempotency readIdempotency() {
        return table.getEnum("repeat", Idempotency.class, Idempotency.UNSAFE);
    }

    /** Returns the servers among which requests are deduplicated; all servers if the key is missing. */
    public DeduplicationScope readDeduplicationScope() {
        return table.getEnum("group", DeduplicationScope.class, DeduplicationScope.ALL);
    }

    /** Returns how long servers remember idempotency keys, in microseconds, or the default if it is missing. */
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
