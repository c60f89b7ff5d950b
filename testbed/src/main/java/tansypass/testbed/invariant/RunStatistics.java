package tansypass.testbed.invariant;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** How requests ended, and how long each took from when it was due. Not thread-safe. */
public final class RunStatistics {

    /** How a request ended for its client. */
    public enum End {
        /** A response of a server, in time. */
        SERVED,
        /** Such a response, past the client's deadline. */
        LATE,
        /** 429 or 503. */
        REFUSED,
        /** Any other response. */
        FAILED,
        /** No response before the client stopped waiting. */
        TIMED_OUT,
        /** The connection broke or was refused. */
        UNREACHABLE,
        /** Never sent: no node was ready, or too many requests were open. */
        NOT_SENT
    }

    private static final long MAX_RECORDED_US = 3_600_000_000L;
    private static final int SIGNIFICANT_DIGITS = 3;

    private final EnumMap<End, Long> ends = new EnumMap<>(End.class);
    private final Map<Long, Map<End, Long>> endsBySecond = new TreeMap<>();
    private final Histogram servedLatencies = new Histogram(MAX_RECORDED_US, SIGNIFICANT_DIGITS);
    private final Histogram sendLateness = new Histogram(MAX_RECORDED_US, SIGNIFICANT_DIGITS);
    private long attempts;

    /**
     * One request is over.
     *
     * @param intendedUs when it was due, since the load began: a testbed or node that is late does not
     *     make its figures better by it (coordinated omission)
     */
    void recordEnd(End end, long intendedUs, long nowUs) {
        ends.merge(end, 1L, Long::sum);
        endsBySecond
                .computeIfAbsent(intendedUs / 1_000_000, s -> new EnumMap<>(End.class))
                .merge(end, 1L, Long::sum);
        if (end == End.SERVED || end == End.LATE) {
            servedLatencies.recordValue(Math.min(MAX_RECORDED_US, Math.max(0, nowUs - intendedUs)));
        }
    }

    void recordAttempt() {
        attempts++;
    }

    /** Records how late the testbed itself sent a request, in microseconds. */
    void recordSendLateness(long us) {
        sendLateness.recordValue(Math.min(MAX_RECORDED_US, Math.max(0, us)));
    }

    /** Returns how many requests ended like this. */
    public long count(End end) {
        return ends.getOrDefault(end, 0L);
    }

    /** Returns how many requests were due, sent or not. */
    public long offered() {
        return ends.values().stream().mapToLong(Long::longValue).sum();
    }

    /** Returns how many complete requests servers received, retries included. */
    public long attempts() {
        return attempts;
    }

    /** Returns a copy of all counts so far. */
    public Map<End, Long> counts() {
        return new EnumMap<>(ends);
    }

    /** Returns, by second of the load, how the requests that were due in it ended. */
    public Map<Long, Map<End, Long>> endsBySecond() {
        return endsBySecond;
    }

    /** Returns the times of the responses served, in microseconds. */
    public Histogram servedLatencies() {
        return servedLatencies;
    }

    /** Returns how late the testbed itself was, in microseconds. */
    public Histogram sendLateness() {
        return sendLateness;
    }
}
