package tansypass.balancer;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** A request of a random run: what is permitted for it, and what has happened to it so far. */
final class TrackedRequest {

    /** An attempt, with a result once it has ended. */
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
    /** Whether it has its final outcome, or its client has disconnected. */
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
