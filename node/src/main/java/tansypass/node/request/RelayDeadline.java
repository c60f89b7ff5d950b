package tansypass.node.request;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import tansypass.node.balancing.BalancerExecutor;
import tansypass.node.frontend.Exchange;
import tansypass.node.upstream.UpstreamConnectionPool;

/**
 * The deadline of a response that is being relayed. A response may continue past the request's deadline if it is long,
 * or if it may still turn out to be long and parts of it still arrive; any other must be complete by then. From the
 * deadline on the rate is measured, and a response that is too slow is aborted, because otherwise it might never end.
 * Owns the timer of the deadline. Used on the event loop only.
 */
final class RelayDeadline implements Runnable {
    /** A response counts as still arriving at its deadline if a part of it was received within this time. */
    private static final long MAX_SILENCE_MS = 250;
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
        timer = balancer.scheduleIn(exchange.isLongResponse() ? RATE_WINDOW_MS : MAX_SILENCE_MS, this);
    }

    private boolean isResponseTooSlow() {
        if (deadlinePassed) {
            return exchange.isResponseTooSlowOrTooLong();
        }
        return !exchange.isLongResponse() && exchange.responseIdleNs() >= TimeUnit.MILLISECONDS.toNanos(MAX_SILENCE_MS);
    }
}
