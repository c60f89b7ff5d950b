package tansypass.node.request;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HexFormat;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import tansypass.node.logging.LogEvent;

/**
 * Logs the responses that the node has broken off. At most one line is logged in a second, since a web server's end can
 * break off hundreds at once; the metrics count all of them. Used on the event loop only.
 */
final class AbortLog {
    private static final Logger LOG = System.getLogger(AbortLog.class.getName());
    static final long MIN_INTERVAL_NS = TimeUnit.SECONDS.toNanos(1);

    private final LongSupplier clock;
    /** The time of the last line, in nanoseconds; meaningless before the first one. */
    private long lastLineNs;

    private boolean logged;

    /**
     * Creates a log without lines.
     *
     * @param clock returns the time in nanoseconds
     */
    AbortLog(LongSupplier clock) {
        this.clock = clock;
    }

    /** Logs the end of a request's response, unless a line was logged within the last second. */
    void add(long requestId, String reason, long forwardedBytes) {
        long nowNs = clock.getAsLong();
        if (logged && nowNs - lastLineNs < MIN_INTERVAL_NS) {
            return;
        }
        logged = true;
        lastLineNs = nowNs;
        LOG.log(
                Level.INFO,
                LogEvent.RESPONSE_ABORTED.line(HexFormat.of().toHexDigits(requestId), reason, forwardedBytes));
    }
}
