package tansypass.config;

/** The interval and the timeout of the membership protocol's probes, in microseconds. */
public record ProbeTiming(long intervalUs, long timeoutUs) {
    private static final long MIN_INTERVAL_US = 10_000;
    private static final long MIN_TIMEOUT_US = 1_000;
    private static final long MAX_US = 60_000_000;
    private static final long DEFAULT_INTERVAL_US = 1_000_000;

    /** Reads the keys {@code period} and {@code probe}; if {@code probe} is missing, the timeout is 0.3 intervals. */
    public static ProbeTiming read(TomlTableReader table) {
        long intervalUs = table.getDurationUs("period", MIN_INTERVAL_US, MAX_US, DEFAULT_INTERVAL_US);
        return new ProbeTiming(intervalUs, table.getDurationUs("probe", MIN_TIMEOUT_US, MAX_US, intervalUs * 3 / 10));
    }
}
