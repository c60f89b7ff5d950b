package tansypass.balancer;

/**
 * The rules for retries, attempt timeouts and final responses: whether and where a request may be sent again, how long
 * an attempt may run, and whether a request that is not served is rejected or fails. These are rules 1 and 2 of the
 * protocol.
 */
final class RetryRules {
    private final BalancerSettings settings;

    RetryRules(BalancerSettings settings) {
        this.settings = settings;
    }

    /** Returns whether a further attempt is allowed, at any server (rule 2). */
    boolean canRetry(PendingRequest pending, long nowUs) {
        if (pending.attemptCount() >= settings.maxAttempts()
                || nowUs >= pending.deadlineAtUs()
                || pending.hasResponseStarted()
                || !pending.isBodyReplayable()
                || hasNoValue(pending, nowUs)) {
            return false;
        }
        Attempt earliest = pending.earliestPossiblyExecutedOrNull();
        if (earliest == null) {
            return true;
        }
        return switch (pending.requestClass().idempotency()) {
            case IDEMPOTENT -> true;
            case KEYED -> isWithinDeduplicationWindow(pending, earliest.sentAtUs(), nowUs);
            case NON_IDEMPOTENT -> false;
        };
    }

    /** Returns whether a retry would arrive within the deduplication window, even if it has to open a connection. */
    private boolean isWithinDeduplicationWindow(PendingRequest pending, long firstSentAtUs, long nowUs) {
        return nowUs + settings.connectTimeoutUs()
                <= firstSentAtUs + pending.requestClass().deduplicationWindowUs();
    }

    /**
     * Returns whether deduplication allows a server for the next attempt (rule 2). A keyed request that another server
     * may have executed can only be sent to a server that drops the repeat.
     */
    boolean isInDeduplicationScope(PendingRequest pending, Server server) {
        RequestClass requestClass = pending.requestClass();
        if (requestClass.idempotency() != Idempotency.KEYED) {
            return true;
        }
        Attempt earliest = pending.earliestPossiblyExecutedOrNull();
        if (earliest == null) {
            return true;
        }
        return switch (requestClass.deduplicationScope()) {
            case ALL -> true;
            case ZONE -> server.zone() == earliest.server().zone();
            case CELL -> server.cell() == earliest.server().cell();
        };
    }

    /** Returns whether a response has no value by now. In that case no server should work on the request. */
    boolean hasNoValue(PendingRequest pending, long nowUs) {
        return pending.requestClass().residualWeight() == 0 && nowUs >= pending.objectiveAtUs();
    }

    /**
     * Returns whether the request may be rejected (rule 1). A rejection promises that a retry by the client is safe.
     */
    boolean canReject(PendingRequest pending, long nowUs) {
        if (isRetriedAfterFailure(pending.requestClass())) {
            return true;
        }
        // This client retries only after a rejection: fail the request if a response to the retry would have no value.
        return pending.earliestPossiblyExecutedOrNull() == null && !hasNoValue(pending, nowUs);
    }

    /**
     * Returns the time at which an attempt times out, which is normally the request's deadline. Departure from
     * ServiceQ: it is the end of the latency objective if a late response has no value and the client does not retry
     * failures.
     */
    long attemptDeadlineUs(PendingRequest pending) {
        if (pending.isReceivingBody()) {
            return Long.MAX_VALUE;
        }
        RequestClass requestClass = pending.requestClass();
        boolean canRunLate =
                requestClass.residualWeight() > 0 || requestClass.stream() || isRetriedAfterFailure(requestClass);
        return canRunLate ? pending.deadlineAtUs() : pending.objectiveAtUs();
    }

    /** Returns whether clients retry requests of this class after a failure, and not only after a rejection. */
    private static boolean isRetriedAfterFailure(RequestClass requestClass) {
        return switch (requestClass.idempotency()) {
            case IDEMPOTENT -> true;
            case KEYED -> requestClass.deduplicationScope() == DeduplicationScope.ALL;
            case NON_IDEMPOTENT -> false;
        };
    }
}
