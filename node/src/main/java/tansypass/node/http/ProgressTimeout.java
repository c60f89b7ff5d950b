package tansypass.node.http;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/**
 * Runs an action when no progress has been made for the length of the timeout. Progress is either recorded, which only
 * stores a time, or found by the periodic check, which also compares that time with the timeout. Used on one event loop
 * only.
 */
public final class ProgressTimeout {
    /**
     * Longest interval between two checks. It is bounded because the timeout may be shortened while a check is pending,
     * and because progress between two checks is found only at the second one.
     */
    private static final long CHECK_INTERVAL_NS = TimeUnit.SECONDS.toNanos(1);

    private final EventLoop loop;
    private final BooleanSupplier progressCheck;
    private final Runnable onTimeout;
    private final LongSupplier clock;
    private ScheduledFuture<?> nextCheck;
    private long lastProgressNs;
    private long timeoutNs;

    /**
     * Creates a timeout that is not running. Its functions run on the event loop.
     *
     * @param progressCheck returns whether there has been progress since its last call that was not recorded
     * @param onTimeout runs at most once for each start
     */
    public ProgressTimeout(EventLoop loop, BooleanSupplier progressCheck, Runnable onTimeout) {
        this(loop, progressCheck, onTimeout, System::nanoTime);
    }

    /** Creates a timeout with another clock, in nanoseconds. */
    ProgressTimeout(EventLoop loop, BooleanSupplier progressCheck, Runnable onTimeout, LongSupplier clock) {
        this.loop = loop;
        this.progressCheck = progressCheck;
        this.onTimeout = onTimeout;
        this.clock = clock;
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
        lastProgressNs = clock.getAsLong();
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
        if (progressCheck.getAsBoolean()) {
            recordProgress();
        }
        if (nextCheck == null) {
            // The check has found that there is nothing left to time.
            return;
        }
        long remainingNs = lastProgressNs + timeoutNs - clock.getAsLong();
        if (remainingNs > 0) {
            scheduleCheck(remainingNs);
        } else {
            nextCheck = null;
            onTimeout.run();
        }
    }
}
