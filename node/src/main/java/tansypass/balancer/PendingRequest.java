package tansypass.balancer;

/** A request that is owed an answer, or whose attempts are still in flight. Times are microseconds. */
final class PendingRequest {
    final BalancerRequest request;
    final RequestClass requestClass;
    long arrivedAt;
    final long latencyObjectiveUs;
    long objectiveAt;
    long deadlineAt;
    final Server[] servers;
    final long[] sentAt;
    final AttemptResult[] results;
    double priorityWeight;
    /** Priority per unit of work, by which the queue is ordered. */
    double priority;

    boolean late;

    int attempts;
    int attemptsInFlight;
    boolean queued;
    boolean awaitingProbes;
    int probesInFlight;
    long probeDeadlineAt;
    boolean responseStarted;
    /** A long answer is being relayed: whether it completes is still to be learned. */
    boolean relaying;
    /** Its body is being received, and its time has not begun. */
    boolean receivingBody;

    boolean bodyNotReplayable;

    boolean completed;

    PendingRequest(BalancerRequest request, BalancerSettings settings, long nowUs, long elapsedUs) {
        this.request = request;
        requestClass = settings.classes().get(request.classIndex());
        long stretchUs = (long) (requestClass.objectiveStretch() * request.workUs());
        latencyObjectiveUs = Math.min(requestClass.deadlineUs(), requestClass.latencyObjectiveUs() + stretchUs);
        arrivedAt = nowUs;
        deadlineAt = nowUs + Math.max(0, request.remainingUs());
        objectiveAt = Math.min(deadlineAt, nowUs + latencyObjectiveUs - elapsedUs);
        servers = new Server[settings.maxAttempts()];
        sentAt = new long[settings.maxAttempts()];
        results = new AttemptResult[settings.maxAttempts()];
    }

    /** Its body is complete: objective and deadline count from here. */
    void restartDeadline(long nowUs) {
        receivingBody = false;
        objectiveAt += nowUs - arrivedAt;
        deadlineAt += nowUs - arrivedAt;
        arrivedAt = nowUs;
    }

    boolean hasLeftQueue() {
        return !queued;
    }

    boolean isInFlight(int attempt) {
        return attempt >= 0 && attempt < attempts && results[attempt] == null;
    }

    boolean hasTried(Server server) {
        for (int i = 0; i < attempts; i++) {
            if (servers[i] == server) {
                return true;
            }
        }
        return false;
    }

    /** The earliest attempt that a server may have executed, or -1; retries and rejections depend on it. */
    int earliestPossiblyExecuted() {
        for (int i = 0; i < attempts; i++) {
            if (results[i] == null || !results[i].isKnownNotExecuted()) {
                return i;
            }
        }
        return -1;
    }
}
