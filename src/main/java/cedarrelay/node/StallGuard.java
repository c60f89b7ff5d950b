package cedarrelay.node;

import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;

/** Ends what has made no progress for too long; costs a timer now and then and nothing for each part. */
final class StallGuard {
    private final EventLoop loop;
    private final long mostNs;
    private final Runnable onStall;
    private ScheduledFuture<?> check;
    private long progressAt;

    StallGuard(EventLoop loop, long mostMs, Runnable onStall) {
        this.loop = loop;
        this.mostNs = TimeUnit.MILLISECONDS.toNanos(mostMs);
        this.onStall = onStall;
    }

    void start() {
        progress();
        if (check == null) {
            checkIn(mostNs);
        }
    }

    void progress() {
        progressAt = System.nanoTime();
    }

    void stop() {
        if (check != null) {
            check.cancel(false);
            check = null;
        }
    }

    private void checkIn(long ns) {
        check = loop.schedule(this::check, ns, TimeUnit.NANOSECONDS);
    }

    private void check() {
        long left = progressAt + mostNs - System.nanoTime();
        if (left > 0) {
            checkIn(left);
        } else {
            check = null;
            onStall.run();
        }
    }
}
