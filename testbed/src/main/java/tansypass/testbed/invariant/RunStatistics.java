package tansypass.testbed.invariant;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Counts how requests ended and measures how long each took from the time it was due. Not thread-safe. */
public final class RunStatistics {

    /** The ways in which a request ends for its client. */
    public enum End {
        /** A server's response arrived within the deadline. */
        SERVED,
        /** A server's response arrived after the client's deadline. */
        LATE,
        /** The response was 429 or 503. */
        REFUSED,
        /** Any other response arrived. */
        FAILED,
        /** No response arrived before the client stopped waiting. */
        TIMED_OUT,
        /** The connection broke or was refused. */
        UNREACHABLE,
        /** The request was not sent, because no node was ready or too many requests were open. */
        NOT_SENT
    }

    private static final long MAX_RECORDED_US = 3_600_000_000L;
    private static final int SIGNIFICANT_DIGITS = 3;

    private final EnumMap<End, Long> endCounts = new EnumMap<>(End.class);
    private final Map<Long, Map<End, Long>> endsBySecond = new TreeMap<>();
    private final Histogram servedLatencies = new Histogram(MAX_RECORDED_US, SIGNIFICANT_DIGITS);
    private final Histogram sendLateness = new Histogram(MAX_RECORDED_US, SIGNIFICANT_DIGITS);
    private long attempts;

    /**
     * Records the end of a request.
     *
     * @param intendedUs the time at which the request was due, since the load began. Latencies count from here: a
     *     testbed or node that is behind schedule would otherwise improve its figures (coordinated omission).
     */
    void recordEnd(End end, long intendedUs, long nowUs) {
        endCounts.merge(end, 1L, Long::sum);
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

    /** Records by how many microseconds the testbed itself was late to send a request. */
    void recordSendLateness(long latenessUs) {
        sendLateness.recordValue(Math.min(MAX_RECORDED_US, Math.max(0, latenessUs)));
    }

    /** Returns the number of requests that ended in this way. */
    public long count(End end) {
        return endCounts.getOrDefault(end, 0L);
    }

    /** Returns the number of requests that were due, whether or not they were sent. */
    public long offered() {
        return endCounts.values().stream().mapToLong(Long::longValue).sum();
    }

    /** Returns the number of complete requests that servers received, including retries. */
    public long attempts() {
        return attempts;
    }

    /** Returns a copy of the number of requests so far, by the way in which they ended. */
    public Map<End, Long> endCounts() {
        return new EnumMap<>(endCounts);
    }

    /** Returns the number of requests by the second of the load in which they were due, and by how they ended. */
    public Map<Long, Map<End, Long>> endsBySecond() {
        return endsBySecond;
    }

    /** Returns the latencies of the requests that were served, in time or late, in microseconds. */
    public Histogram servedLatencies() {
        return servedLatencies;
    }

    /** Returns by how many microseconds the testbed itself sent requests late. */
    public Histogram sendLateness() {
        return sendLateness;
    }
}
