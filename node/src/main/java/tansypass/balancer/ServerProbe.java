package tansypass.balancer;

import java.util.ArrayList;
import java.util.List;

/** The state of one server's probe, and the requests that wait for the probe's result. */
final class ServerProbe {
    private final List<PendingRequest> waiters = new ArrayList<>();
    private boolean inFlight;

    boolean isInFlight() {
        return inFlight;
    }

    /** Adds a request that waits for the result. */
    void addWaiter(PendingRequest pending) {
        // Remove requests that no longer wait: they would accumulate if the result never arrived.
        waiters.removeIf(waiter -> !waiter.isAwaitingProbes());
        waiters.add(pending);
    }

    void start() {
        inFlight = true;
    }

    /** Ends the probe and returns the requests that waited for its result. */
    List<PendingRequest> finish() {
        inFlight = false;
        List<PendingRequest> finishedWaiters = new ArrayList<>(waiters);
        waiters.clear();
        return finishedWaiters;
    }
}
