package tansypass.node.http;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Runs an action when no progress has been recorded for the length of the timeout. Recording progress only stores a
 * time, which a periodic check compares with the timeout. Used on one event loop only.
 */
public final class ProgressTimeout {
    /**
     * Longest interval between two checks. It is bounded because the timeout may be shortened while a check is pending.
     */
    private static final long CHECK_INTERVAL_NS = TimeUnit.SECONDS.toNanos(1);

    private final EventLoop loop;
    private final Runnable onTimeout;
    private ScheduledFuture<?> nextCheck;
    private long lastProgressNs;
    private long timeoutNs;

    /** Creates a timeout that is not running. The action runs on the event loop, at most once for each start. */
    public ProgressTimeout(EventLoop loop, Runnable onTimeout) {
        this.loop = loop;
        this.onTimeout = onTimeout;
    }

    /** Starts the timeout, or changes its length if it is running already. */
    public void start(long timeoutMs) {
        changeTimeout(timeoutMs);
        if (nextCheck == null) {
            scheduleCheck(timeoutNs);
        }
    }

    /** Changes the length of the timeout and restarts it from now. */
    public void changeTimeout(long timeoutMs) {
        timeoutNs = TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        recordProgress();
    }

    /** Restarts the timeout from now. */
    public void recordProgress() {
        lastProgressNs = System.nanoTime();
    }

    /** Stops the timeout. It can be started again. */
    public void stop() {
        if (nextCheck != null) {
            nextCheck.cancel(false);
            nextCheck = null;
        }
    }

    private void scheduleCheck(long delayNs) {
        nextCheck = loop.schedule(this::checkProgress, Math.min(delayNs, CHECK_INTERVAL_NS), TimeUnit.NANOSECONDS);
    }

    private void checkProgress() {
        long remainingNs = lastProgressNs + timeoutNs - System.nanoTime();
        if (remainingNs > 0) {
            scheduleCheck(remainingNs);
        } else {
            nextCheck = null;
            onTimeout.run();
        }
    }
}
