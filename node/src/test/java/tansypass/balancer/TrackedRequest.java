package tansypass.balancer;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** A request in a random sequence of events: its class and deadline, its attempts so far, and whether it has ended. */
final class TrackedRequest {

    /** An attempt. The result is null while the attempt is in flight. */
    static final class Attempt {
        final ServerEntry server;
        final long sentAtUs;
        AttemptResult result;

        Attempt(ServerEntry server, long sentAtUs) {
            this.server = server;
            this.sentAtUs = sentAtUs;
        }

        boolean isInFlight() {
            return result == null;
        }

        private boolean isPossiblyExecuted() {
            return result == null || !result.isKnownNotExecuted();
        }
    }

    final RequestClass requestClass;
    final long deadlineAtUs;
    final List<Attempt> attempts = new ArrayList<>();
    /** True if the request has its final response, or its client has disconnected. */
    boolean ended;

    TrackedRequest(RequestClass requestClass, long deadlineAtUs) {
        this.requestClass = requestClass;
        this.deadlineAtUs = deadlineAtUs;
    }

    Optional<Attempt> earliestPossiblyExecuted() {
        return attempts.stream().filter(Attempt::isPossiblyExecuted).findFirst();
    }

    boolean hasAttemptInFlight() {
        return attempts.stream().anyMatch(Attempt::isInFlight);
    }
}
