package tansypass.balancer;

import java.util.HashMap;
import java.util.Map;

/** The requests that are owed a final response or have an attempt in flight; gives the final responses. */
final class PendingRequests {
    private final BalancerSettings settings;
    private final LoadBalancerActions actions;
    private final RetryRules rules;
    private final Map<Long, PendingRequest> byId = new HashMap<>();

    PendingRequests(BalancerSettings settings, LoadBalancerActions actions, RetryRules rules) {
        this.settings = settings;
        this.actions = actions;
        this.rules = rules;
    }

    boolean contains(long requestId) {
        return byId.containsKey(requestId);
    }

    /** The request of this id, or null if there is none. */
    PendingRequest findOrNull(long requestId) {
        return byId.get(requestId);
    }

    void add(PendingRequest pending) {
        byId.put(pending.id(), pending);
    }

    /** Rule 1: gives the one final response, a rejection if a retry by the client is harmless, else a failure. */
    void reject(PendingRequest pending, long nowUs) {
        if (rules.canReject(pending, nowUs)) {
            actions.reject(pending.id(), settings.maxRetryAfterUs());
        } else {
            actions.fail(pending.id());
        }
        complete(pending);
    }

    /** No response is owed any more: an attempt in flight is cancelled if that is allowed. */
    void complete(PendingRequest pending) {
        pending.complete();
        Attempt inFlight = pending.attemptInFlightOrNull();
        if (inFlight != null && settings.cancel()) {
            actions.cancel(pending.id(), inFlight.number());
        }
        removeIfFinished(pending);
    }

    /** Forgets a request that is complete and has no attempt in flight. */
    void removeIfFinished(PendingRequest pending) {
        if (pending.isFinished()) {
            byId.remove(pending.id());
        }
    }
}
