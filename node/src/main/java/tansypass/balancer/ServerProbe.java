package tansypass.balancer;

import java.util.ArrayList;
import java.util.List;

/** The probe of one server that is in flight, if there is one, and the requests that wait for its result. */
final class ServerProbe {
    private final List<PendingRequest> waiters = new ArrayList<>();
    private boolean inFlight;

    boolean isInFlight() {
        return inFlight;
    }

    /** Adds a request that waits for the result. */
    void addWaiter(PendingRequest pending) {
        // Requests that were sent in the meantime must not pile up should the result never arrive.
        waiters.removeIf(waiter -> !waiter.isAwaitingProbes());
        waiters.add(pending);
    }

    void start() {
        inFlight = true;
    }

    /** Ends the probe and returns the requests that waited for its result. */
    List<PendingRequest> finish() {
        inFlight = false;
        List<PendingRequest> waited = new ArrayList<>(waiters);
        waiters.clear();
        return waited;
    }
}
