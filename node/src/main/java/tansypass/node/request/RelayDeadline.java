package tansypass.node.request;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import tansypass.node.balancing.BalancerExecutor;
import tansypass.node.frontend.Exchange;
import tansypass.node.upstream.UpstreamConnectionPool;

/**
 * The deadline of a response that is being relayed. A response that may still turn out to be short has to be complete
 * by the request's deadline, like any short one. It may continue after that if it is long, or may turn out to be, and
 * its rate is sufficient: without a lowest rate it might never end. It owns the timer. Used on the event loop only.
 */
final class RelayDeadline implements Runnable {
    /** A response past its deadline is still being received if some of it arrived within this time. */
    private static final long RESPONSE_SILENCE_MS = 250;
    /** The interval over which the rate of a long response is measured: as long as a server may pause in it. */
    private static final long RESPONSE_RATE_WINDOW_MS = UpstreamConnectionPool.STALL_TIMEOUT_MS;

    /** Is notified when the response has to be aborted. */
    interface Listener {
        /** Called once, when the response is incomplete at its deadline and too slow or too long to continue. */
        void onResponseTooSlow();
    }

    private final Exchange exchange;
    private final BalancerExecutor balancer;
    private final Listener listener;
    private ScheduledFuture<?> timer;
    /** Whether the response is still being relayed after the deadline. */
    private boolean deadlinePassed;

    /** Creates a deadline that has not started. */
    RelayDeadline(Exchange exchange, BalancerExecutor balancer, Listener listener) {
        this.exchange = exchange;
        this.balancer = balancer;
        this.listener = listener;
    }

    /** Starts the timer, for a response that has started; the time is one of the module's clock in microseconds. */
    void start(long deadlineUs) {
        timer = balancer.scheduleAt(deadlineUs, this);
    }

    /** Stops the timer: the response is complete, or not needed any more. */
    void cancel() {
        timer.cancel(false);
    }

    /** Called by the timer while the response is incomplete. */
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
        timer = balancer.scheduleIn(exchange.isLongResponse() ? RESPONSE_RATE_WINDOW_MS : RESPONSE_SILENCE_MS, this);
    }

    private boolean isResponseTooSlow() {
        if (deadlinePassed) {
            return exchange.isResponseTooSlowOrTooLong();
        }
        return !exchange.isLongResponse()
                && exchange.responseIdleNs() >= TimeUnit.MILLISECONDS.toNanos(RESPONSE_SILENCE_MS);
    }
}
