package tansypass.node.balancing;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import tansypass.balancer.LoadBalancer;
import tansypass.node.admin.NodeMetrics;
import tansypass.node.logging.LogEvent;

/**
 * Calls the decision module, which is not re-entrant: one call at a time, in the order of the events. It owns
 * the module's clock and its one timer. All methods but {@link #executeOnLoop} are to be called on the event
 * loop.
 */
public final class BalancerExecutor {
    private static final Logger LOG = System.getLogger(BalancerExecutor.class.getName());

    private static final long NS_PER_US = 1_000;

    private final EventLoop loop;
    private final NodeMetrics metrics;
    private final long originNanos = System.nanoTime();
    /** The clock starts at Unix time and then only follows the monotonic one, so that a server's boot
     * time always converts to the same value: another value would look like another start. */
    private final long originUs = TimeUnit.MILLISECONDS.toMicros(System.currentTimeMillis());

    private final Deque<Call> calls = new ArrayDeque<>();
    private LoadBalancer balancer;
    private boolean running;
    private boolean closed;
    private ScheduledFuture<?> timer;

    /** Is notified when a call of the module has failed. */
    public interface FailureListener {
        /** Called once for each call that has thrown, before the next call. */
        void onBalancerFailure();
    }

    /** For events that concern no single request: there is nobody to notify. */
    private static final FailureListener NO_LISTENER = () -> {};

    /** A queued call of the module, and the listener of its failure. */
    private record Call(FailureListener failureListener, Consumer<LoadBalancer> action) {}

    /** Creates an executor without a module: {@link #setBalancer} has to follow. */
    public BalancerExecutor(EventLoop loop, NodeMetrics metrics) {
        this.loop = loop;
        this.metrics = metrics;
    }

    /** Sets the module; to be called once, before any other method that calls it. */
    public void setBalancer(LoadBalancer balancer) {
        this.balancer = balancer;
    }

    /** Calls the module for an event that concerns no single request; see the method with a listener. */
    public void execute(Consumer<LoadBalancer> action) {
        execute(NO_LISTENER, action);
    }

    /** Calls the module for an event that concerns no single request; may be called from any thread. */
    public void executeOnLoop(Consumer<LoadBalancer> action) {
        loop.execute(() -> execute(action));
    }

    /**
     * Calls the module, or queues the call while another one is running: an immediate consequence of the module's own
     * action (a connection refused, an attempt not sent) is reported only after the call that caused it has
     * returned.
     *
     * @param failureListener notified if the call throws, such as the request that the event concerns
     */
    public void execute(FailureListener failureListener, Consumer<LoadBalancer> action) {
        if (closed) {
            // The module would react to the end of attempts by sending the requests in its queue.
            return;
        }
        calls.add(new Call(failureListener, action));
        if (running) {
            return;
        }
        running = true;
        try {
            for (Call call = calls.poll(); call != null; call = calls.poll()) {
                run(call);
            }
        } finally {
            running = false;
            metrics.setServerCounts(balancer.serverCount(), balancer.excludedServerCount());
        }
    }

    /** A fault in one call must not end the node; the request that it concerns still gets a response. */
    private void run(Call call) {
        try {
            call.action.accept(balancer);
        } catch (RuntimeException e) {
            LOG.log(Level.ERROR, LogEvent.BALANCER_CALL_FAILED.line(), e);
            call.failureListener.onBalancerFailure();
        }
    }

    /** Returns the time of the module's clock, in microseconds. */
    public long nowUs() {
        return toUs(System.nanoTime());
    }

    /** Converts a reading of {@link System#nanoTime} to the module's clock, in microseconds. */
    public long toUs(long nanoTime) {
        return originUs + (nanoTime - originNanos) / NS_PER_US;
    }

    /** Schedules a task for a time of the module's clock; the caller owns the timer. */
    public ScheduledFuture<?> scheduleAt(long timeUs, Runnable task) {
        return loop.schedule(task, Math.max(0, timeUs - nowUs()), TimeUnit.MICROSECONDS);
    }

    /** Schedules a task after a delay in milliseconds; the caller owns the timer. */
    public ScheduledFuture<?> scheduleIn(long delayMs, Runnable task) {
        return loop.schedule(task, delayMs, TimeUnit.MILLISECONDS);
    }

    /** Sets the module's one timer to a time of its clock, in microseconds; a pending one is replaced. */
    public void scheduleTimer(long atUs) {
        if (timer != null) {
            timer.cancel(false);
        }
        timer = scheduleAt(atUs, () -> execute(b -> b.onTimer(nowUs())));
    }

    /** Cancels the module's timer and makes no further call. */
    public void close() {
        if (timer != null) {
            timer.cancel(false);
        }
        closed = true;
    }
}
