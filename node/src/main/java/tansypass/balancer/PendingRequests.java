package tansypass.balancer;

import java.util.HashMap;
import java.util.Map;

/** The requests that have an attempt in flight or no final response yet. This class also sends final responses. */
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

    /** Returns the request of this id, or null if there is none. */
    PendingRequest findOrNull(long requestId) {
        return byId.get(requestId);
    }

    void add(PendingRequest pending) {
        byId.put(pending.id(), pending);
    }

    /** Ends a request by a rejection if a retry by the client is safe, otherwise by a failure (rule 1). */
    void reject(PendingRequest pending, long nowUs) {
        if (rules.canReject(pending, nowUs)) {
            actions.reject(pending.id(), settings.maxRetryAfterUs());
        } else {
            actions.fail(pending.id());
        }
        complete(pending);
    }

    /** Marks a request as completed, and cancels its attempt in flight if the settings allow it. */
    void complete(PendingRequest pending) {
        pending.complete();
        Attempt inFlight = pending.attemptInFlightOrNull();
        if (inFlight != null && settings.cancel()) {
            actions.cancel(pending.id(), inFlight.number());
        }
        removeIfFinished(pending);
    }

    /** Removes a request if it is completed and has no attempt in flight. */
    void removeIfFinished(PendingRequest pending) {
        if (pending.isFinished()) {
            byId.remove(pending.id());
        }
    }
}
