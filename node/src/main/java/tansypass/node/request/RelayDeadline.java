package tansypass.node.request;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import tansypass.node.balancing.BalancerExecutor;
import tansypass.node.frontend.Exchange;
import tansypass.node.upstream.UpstreamConnectionPool;

/**
 * The deadline of a response that is being relayed. A response may continue past the request's deadline if it is long,
 * or if it may still turn out to be long and arrives at a sufficient rate; any other must be complete soon after it.
 * From the deadline on the rate is measured, and a response that is too slow is aborted, because otherwise it might
 * never end. Owns the timer of the deadline. Used on the event loop only.
 */
final class RelayDeadline implements Runnable {
    /** A response counts as still arriving at its deadline if a part of it was received within this time. */
    private static final long MAX_SILENCE_MS = 250;
    /**
     * The time after the deadline within which a response that is known to be short must be complete. A response is
     * lost half a second after its time, which is not before the deadline.
     */
    private static final long SHORT_RESPONSE_GRACE_MS = 400;
    /** The interval over which the rate of a long response is measured. A server may pause for as long as this. */
    private static final long RATE_WINDOW_MS = UpstreamConnectionPool.STALL_TIMEOUT_MS;

    /** Receives the order to abort the response. */
    interface Listener {
        /** Called once, if the response is incomplete at or after its deadline and too slow or too long to continue. */
        void onResponseTooSlow();
    }

    private final Exchange exchange;
    private final BalancerExecutor balancer;
    private final Listener listener;
    private ScheduledFuture<?> timer;
    /** True once the deadline has passed and the response may continue. */
    private boolean deadlinePassed;

    /** Creates a deadline that has not started. */
    RelayDeadline(Exchange exchange, BalancerExecutor balancer, Listener listener) {
        this.exchange = exchange;
        this.balancer = balancer;
        this.listener = listener;
    }

    /**
     * Starts the timer for a response that has started.
     *
     * @param deadlineUs on the load balancer's clock, in microseconds
     */
    void start(long deadlineUs) {
        timer = balancer.scheduleAt(deadlineUs, this);
    }

    /** Stops the timer, because the response is complete or no longer needed. */
    void cancel() {
        timer.cancel(false);
    }

    /** Called by the timer, which runs only while the response is incomplete. */
    @Override
    public void run() {
        if (isResponseTooSlow()) {
            listener.onResponseTooSlow();
            return;
        }
        if (!deadlinePassed) {
            deadlinePassed = true;
            exchange.startRateMeasurement();
        }
        timer = balancer.scheduleIn(nextCheckMs(), this);
    }

    private long nextCheckMs() {
        if (exchange.isLongResponse()) {
            return RATE_WINDOW_MS;
        }
        if (exchange.hasDeclaredLength()) {
            return SHORT_RESPONSE_GRACE_MS;
        }
        long sufficientForMs = TimeUnit.NANOSECONDS.toMillis(exchange.meanRateSufficientForNs());
        return sufficientForMs < 0 ? MAX_SILENCE_MS : Math.min(sufficientForMs + 1, MAX_SILENCE_MS);
    }

    private boolean isResponseTooSlow() {
        if (exchange.isLongResponse()) {
            return deadlinePassed && exchange.isResponseTooSlowOrTooLong();
        }
        if (exchange.hasDeclaredLength()) {
            return deadlinePassed || isSilent();
        }
        // Nobody can know yet whether the response will be long.
        if (exchange.meanRateSufficientForNs() >= 0) {
            return false;
        }
        return deadlinePassed ? exchange.isResponseTooSlowOrTooLong() : isSilent();
    }

    private boolean isSilent() {
        return exchange.responseIdleNs() >= TimeUnit.MILLISECONDS.toNanos(MAX_SILENCE_MS);
    }
}
