package tansypass.balancer;

import java.util.ArrayList;
import java.util.List;

/**
 * A request that is owed a final response, or whose last attempt is still in flight. It has at most one attempt in
 * flight at a time. Times are microseconds of the caller's clock.
 */
final class PendingRequest {
    /** Where a request is on its way. */
    private enum Phase {
        /** It has arrived. */
        ADMITTED,
        /** Probes decide which server it is sent to. */
        AWAITING_PROBES,
        /** It waits in the queue for a server with capacity. */
        QUEUED,
        /** Its last attempt was sent. */
        SENT,
        /** No response is owed any more. */
        COMPLETED
    }

    /** How much of a response has been received. */
    private enum ResponsePhase {
        NOT_STARTED,
        STARTED,
        /** A long response is being relayed: its attempt was recorded as successful, but may still break off. */
        RELAYING
    }

    private final BalancerRequest request;
    private final RequestClass requestClass;
    private final long latencyObjectiveUs;
    private final List<Attempt> attempts;
    private long arrivedAtUs;
    private long objectiveAtUs;
    private long deadlineAtUs;
    private Phase phase = Phase.ADMITTED;
    private ResponsePhase responsePhase = ResponsePhase.NOT_STARTED;
    private boolean receivingBody;
    private boolean bodyReplayable = true;
    private double priorityWeight;
    private double priority;
    private boolean priorityLowered;
    private int probesInFlight;
    private long probeDeadlineAtUs;

    /**
     * A request that has just arrived.
     *
     * @param receivingBody whether its body is still being received
     * @param elapsedUs time since its client's first try
     */
    PendingRequest(
            BalancerRequest request, BalancerSettings settings, boolean receivingBody, long elapsedUs, long nowUs) {
        this.request = request;
        this.receivingBody = receivingBody;
        requestClass = settings.classes().get(request.classIndex());
        long stretchUs = (long) (requestClass.objectiveStretch() * request.workUs());
        latencyObjectiveUs = Math.min(requestClass.deadlineUs(), requestClass.latencyObjectiveUs() + stretchUs);
        arrivedAtUs = nowUs;
        deadlineAtUs = nowUs + Math.max(0, request.remainingUs());
        objectiveAtUs = Math.min(deadlineAtUs, nowUs + latencyObjectiveUs - elapsedUs);
        attempts = new ArrayList<>(settings.maxAttempts());
    }

    long id() {
        return request.id();
    }

    int classIndex() {
        return request.classIndex();
    }

    /** Index of its tenant, or -1. */
    int tenant() {
        return request.tenant();
    }

    RequestClass requestClass() {
        return requestClass;
    }

    boolean isNonIdempotent() {
        return requestClass.idempotency() == Idempotency.NON_IDEMPOTENT;
    }

    /** Latency objective as a length of time, by its class and its own work. */
    long latencyObjectiveUs() {
        return latencyObjectiveUs;
    }

    /** When it arrived, or the last byte of its body did. */
    long arrivedAtUs() {
        return arrivedAtUs;
    }

    /** When its latency objective ends. */
    long objectiveAtUs() {
        return objectiveAtUs;
    }

    long deadlineAtUs() {
        return deadlineAtUs;
    }

    boolean isReceivingBody() {
        return receivingBody;
    }

    /** Its body is complete: latency objective and deadline start again. */
    void completeBody(long nowUs) {
        receivingBody = false;
        objectiveAtUs += nowUs - arrivedAtUs;
        deadlineAtUs += nowUs - arrivedAtUs;
        arrivedAtUs = nowUs;
    }

    /** Whether the whole body could still be sent in a further attempt. */
    boolean isBodyReplayable() {
        return bodyReplayable;
    }

    void markBodyNotReplayable() {
        bodyReplayable = false;
    }

    int attemptCount() {
        return attempts.size();
    }

    /** Starts the next attempt. */
    Attempt startAttempt(Server server, long nowUs) {
        Attempt attempt = new Attempt(attempts.size(), server, nowUs);
        attempts.add(attempt);
        phase = Phase.SENT;
        return attempt;
    }

    /** The attempt in flight, or null if there is none. */
    Attempt attemptInFlightOrNull() {
        if (attempts.isEmpty()) {
            return null;
        }
        Attempt last = attempts.get(attempts.size() - 1);
        return last.isInFlight() ? last : null;
    }

    /** The attempt of this number if it is in flight, or null. */
    Attempt attemptInFlightOrNull(int number) {
        Attempt inFlight = attemptInFlightOrNull();
        return inFlight != null && inFlight.number() == number ? inFlight : null;
    }

    /** The earliest attempt that a server may have executed, or null; retries and rejections depend on it. */
    Attempt earliestPossiblyExecutedOrNull() {
        for (int i = 0; i < attempts.size(); i++) {
            if (attempts.get(i).mayHaveExecuted()) {
                return attempts.get(i);
            }
        }
        return null;
    }

    /** Whether an attempt was sent to the server. */
    boolean hasTried(Server server) {
        for (int i = 0; i < attempts.size(); i++) {
            if (attempts.get(i).server() == server) {
                return true;
            }
        }
        return false;
    }

    boolean hasResponseStarted() {
        return responsePhase != ResponsePhase.NOT_STARTED;
    }

    boolean isRelaying() {
        return responsePhase == ResponsePhase.RELAYING;
    }

    void markResponseStarted() {
        if (responsePhase == ResponsePhase.NOT_STARTED) {
            responsePhase = ResponsePhase.STARTED;
        }
    }

    void startRelaying() {
        responsePhase = ResponsePhase.RELAYING;
    }

    /** Its class's priority weight, less if its tenant is beyond its quota. */
    double priorityWeight() {
        return priorityWeight;
    }

    /** Priority weight for each unit of work, by which the queue is ordered. */
    double priority() {
        return priority;
    }

    void setPriority(double weight, double weightPerWork) {
        priorityWeight = weight;
        priority = weightPerWork;
    }

    /** Whether its priority was lowered, since it is unlikely to meet its latency objective. */
    boolean isPriorityLowered() {
        return priorityLowered;
    }

    /** Lowers its priority by the residual weight of its class. */
    void lowerPriority() {
        priorityLowered = true;
        priority *= requestClass.residualWeight();
    }

    boolean isQueued() {
        return phase == Phase.QUEUED;
    }

    boolean hasLeftQueue() {
        return phase != Phase.QUEUED;
    }

    void markQueued() {
        phase = Phase.QUEUED;
    }

    boolean isAwaitingProbes() {
        return phase == Phase.AWAITING_PROBES;
    }

    /** The request waits for so many probes, until the deadline at most. */
    void awaitProbes(int probes, long deadlineUs) {
        phase = Phase.AWAITING_PROBES;
        probesInFlight = probes;
        probeDeadlineAtUs = deadlineUs;
    }

    long probeDeadlineAtUs() {
        return probeDeadlineAtUs;
    }

    /** One of its probes has ended without a server for it. */
    void recordProbeFailed() {
        probesInFlight--;
    }

    boolean hasProbesInFlight() {
        return probesInFlight > 0;
    }

    boolean isCompleted() {
        return phase == Phase.COMPLETED;
    }

    /** No response is owed any more. */
    void complete() {
        phase = Phase.COMPLETED;
    }

    /** Whether nothing is left to be done: no response is owed, and no attempt is in flight. */
    boolean isFinished() {
        return isCompleted() && attemptInFlightOrNull() == null;
    }
}
