package tansypass.cluster.transport;

import io.netty.channel.EventLoop;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import tansypass.cluster.runtime.Scheduler;

/** The clock and timers of a Netty event loop. Tasks run on the thread of the loop; any thread may schedule them. */
public final class EventLoopScheduler implements Scheduler {
    private static final int NANOS_PER_MICRO = 1_000;

    private final EventLoop eventLoop;
    private final long originNs = System.nanoTime();

    /** Creates a scheduler whose tasks run on the given event loop and whose clock starts at 0 now. */
    public EventLoopScheduler(EventLoop eventLoop) {
        this.eventLoop = eventLoop;
    }

    @Override
    public long nowUs() {
        return (System.nanoTime() - originNs) / NANOS_PER_MICRO;
    }

    @Override
    public Timer after(long delayUs, Runnable task) {
        Future<?> pending = eventLoop.schedule(task, Math.max(0, delayUs), TimeUnit.MICROSECONDS);
        return () -> pending.cancel(false);
    }
}
