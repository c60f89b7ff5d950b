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
 * Calls the load balancer, which is not re-entrant, for one event at a time and in the order of the events. Owns the
 * load balancer's clock and its only timer. All methods except {@link #executeOnLoop} must be called on the event loop.
 */
public final class BalancerExecutor {
    private static final Logger LOG = System.getLogger(BalancerExecutor.class.getName());

    private static final long NS_PER_US = 1_000;

    private final EventLoop loop;
    private final NodeMetrics metrics;
    private final long clockStartNs = System.nanoTime();
    /**
     * Unix time at which the load balancer's clock starts. From then on it follows the monotonic clock only, so that a
     * server's boot time always converts to the same value: with another value, the server would seem to have
     * restarted.
     */
    private final long clockStartUs = TimeUnit.MILLISECONDS.toMicros(System.currentTimeMillis());

    private final Deque<Call> calls = new ArrayDeque<>();
    private LoadBalancer balancer;
    private boolean callRunning;
    private boolean closed;
    private ScheduledFuture<?> timer;

    /** A listener that is notified when a call of the load balancer has thrown an exception. */
    public interface FailureListener {
        /** Called once for each call that has thrown an exception, before the next call is made. */
        void onBalancerFailure();
    }

    /** The listener for events that concern no single request: there is no request to fail. */
    private static final FailureListener NO_LISTENER = () -> {};

    /** A queued call of the load balancer, and the listener to notify if the call fails. */
    private record Call(FailureListener failureListener, Consumer<LoadBalancer> action) {}

    /** Creates an executor without a load balancer. {@link #setBalancer} must be called next. */
    public BalancerExecutor(EventLoop loop, NodeMetrics metrics) {
        this.loop = loop;
        this.metrics = metrics;
    }

    /** Sets the load balancer. Must be called once, before any method that calls the load balancer. */
    public void setBalancer(LoadBalancer balancer) {
        this.balancer = balancer;
    }

    /**
     * Calls the load balancer for an event that concerns no single request, as {@link #execute(FailureListener,
     * Consumer)} does.
     */
    public void execute(Consumer<LoadBalancer> action) {
        execute(NO_LISTENER, action);
    }

    /**
     * Calls the load balancer, on the event loop, for an event that concerns no single request. May be called on any
     * thread.
     */
    public void executeOnLoop(Consumer<LoadBalancer> action) {
        loop.execute(() -> execute(action));
    }

    /**
     * Calls the load balancer, or queues the call if another one is running. An action of the load balancer can cause
     * an event immediately, such as a refused connection or an attempt that was not sent. The queue delays that event
     * until the call that caused it has returned.
     *
     * @param failureListener the listener to notify if the call throws, such as the request that the event concerns
     */
    public void execute(FailureListener failureListener, Consumer<LoadBalancer> action) {
        if (closed) {
            // When attempts end, the load balancer would react by sending the requests in its queue.
            return;
        }
        calls.add(new Call(failureListener, action));
        if (callRunning) {
            return;
        }
        callRunning = true;
        try {
            for (Call call = calls.poll(); call != null; call = calls.poll()) {
                run(call);
            }
        } finally {
            callRunning = false;
            metrics.setServerCounts(balancer.serverCount(), balancer.excludedServerCount());
        }
    }

    /** Makes a call. An exception must not end the node: it is logged, and the call's request still gets a response. */
    private void run(Call call) {
        try {
            call.action.accept(balancer);
        } catch (RuntimeException e) {
            LOG.log(Level.ERROR, LogEvent.BALANCER_CALL_FAILED.line(), e);
            call.failureListener.onBalancerFailure();
        }
    }

    /** Returns the time on the load balancer's clock, in microseconds. */
    public long nowUs() {
        return toUs(System.nanoTime());
    }

    /** Converts a value of {@link System#nanoTime} to the load balancer's clock, in microseconds. */
    public long toUs(long nanoTime) {
        return clockStartUs + (nanoTime - clockStartNs) / NS_PER_US;
    }

    /** Schedules a task for a time on the load balancer's clock. The caller owns the timer. */
    public ScheduledFuture<?> scheduleAt(long timeUs, Runnable task) {
        return loop.schedule(task, Math.max(0, timeUs - nowUs()), TimeUnit.MICROSECONDS);
    }

    /** Schedules a task after a delay in milliseconds. The caller owns the timer. */
    public ScheduledFuture<?> scheduleIn(long delayMs, Runnable task) {
        return loop.schedule(task, delayMs, TimeUnit.MILLISECONDS);
    }

    /** Sets the load balancer's timer to a time on its clock, in microseconds. A pending timer is replaced. */
    public void scheduleTimer(long atUs) {
        if (timer != null) {
            timer.cancel(false);
        }
        timer = scheduleAt(atUs, () -> execute(b -> b.onTimer(nowUs())));
    }

    /** Cancels the load balancer's timer. No further call is made after this. */
    public void close() {
        if (timer != null) {
            timer.cancel(false);
        }
        closed = true;
    }
}
