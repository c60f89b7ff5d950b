package tansypass.balancer;

import java.util.ArrayList;
import java.util.List;

/**
 * A request that has no final response yet, or whose last attempt is still in flight. At most one of its attempts is
 * in flight at a time. Times are microseconds of the caller's clock.
 */
final class PendingRequest {
    /** Stages in the processing of a request. */
    private enum Phase {
        /** The request has arrived. */
        ADMITTED,
        /** The request waits for probes, which decide the server that it is sent to. */
        AWAITING_PROBES,
        /** The request waits in the queue for a server with capacity. */
        QUEUED,
        /** The latest attempt was sent. */
        SENT,
        /** The request has its final response, or its client has disconnected. */
        COMPLETED
    }

    /** Stages in the receipt of a response. */
    private enum ResponsePhase {
        NOT_STARTED,
        STARTED,
        /** A long response is being relayed. Its attempt was recorded as successful, but may still fail. */
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
     * Creates a request that has just arrived.
     *
     * @param receivingBody whether its body is still being received
     * @param elapsedUs time since the client's first try of this request
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

    /** Returns the index of the request's tenant, or -1 if it has none. */
    int tenant() {
        return request.tenant();
    }

    RequestClass requestClass() {
        return requestClass;
    }

    boolean isNonIdempotent() {
        return requestClass.idempotency() == Idempotency.NON_IDEMPOTENT;
    }

    /** Returns the latency objective as a duration, which depends on the request's class and on its work. */
    long latencyObjectiveUs() {
        return latencyObjectiveUs;
    }

    /** Returns the time at which the request arrived. If its body arrived later, this is the time of the last byte. */
    long arrivedAtUs() {
        return arrivedAtUs;
    }

    /** Returns the time at which the latency objective ends. */
    long objectiveAtUs() {
        return objectiveAtUs;
    }

    long deadlineAtUs() {
        return deadlineAtUs;
    }

    boolean isReceivingBody() {
        return receivingBody;
    }

    /** Records that the body is complete. Latency objective and deadline start again from now. */
    void completeBody(long nowUs) {
        receivingBody = false;
        objectiveAtUs += nowUs - arrivedAtUs;
        deadlineAtUs += nowUs - arrivedAtUs;
        arrivedAtUs = nowUs;
    }

    /** Returns whether a further attempt can send the whole body again. */
    boolean isBodyReplayable() {
        return bodyReplayable;
    }

    void markBodyNotReplayable() {
        bodyReplayable = false;
    }

    int attemptCount() {
        return attempts.size();
    }

    /** Adds the next attempt, which is sent now. */
    Attempt startAttempt(Server server, long nowUs) {
        Attempt attempt = new Attempt(attempts.size(), server, nowUs);
        attempts.add(attempt);
        phase = Phase.SENT;
        return attempt;
    }

    /** Returns the attempt in flight, or null if there is none. */
    Attempt attemptInFlightOrNull() {
        if (attempts.isEmpty()) {
            return null;
        }
        Attempt last = attempts.get(attempts.size() - 1);
        return last.isInFlight() ? last : null;
    }

    /** Returns the attempt of this number, or null if it is not in flight. */
    Attempt attemptInFlightOrNull(int number) {
        Attempt inFlight = attemptInFlightOrNull();
        return inFlight != null && inFlight.number() == number ? inFlight : null;
    }

    /** Returns the earliest attempt that a server may have executed, or null if there is none. */
    Attempt earliestPossiblyExecutedOrNull() {
        for (int i = 0; i < attempts.size(); i++) {
            if (attempts.get(i).mayHaveExecuted()) {
                return attempts.get(i);
            }
        }
        return null;
    }

    /** Returns whether an attempt of this request was sent to the server. */
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

    /** Returns the priority weight of the request's class, reduced if its tenant is over quota. */
    double priorityWeight() {
        return priorityWeight;
    }

    /** Returns the priority weight per unit of work, by which the queue is ordered. */
    double priority() {
        return priority;
    }

    void setPriority(double weight, double weightPerWork) {
        priorityWeight = weight;
        priority = weightPerWork;
    }

    /** Returns whether the priority was lowered because the request is unlikely to meet its latency objective. */
    boolean isPriorityLowered() {
        return priorityLowered;
    }

    /** Multiplies the priority by the residual weight of the request's class. */
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

    /** Records that the request waits for this number of probes, until {@code waitUntilUs} at the latest. */
    void awaitProbes(int probeCount, long waitUntilUs) {
        phase = Phase.AWAITING_PROBES;
        probesInFlight = probeCount;
        probeDeadlineAtUs = waitUntilUs;
    }

    long probeDeadlineAtUs() {
        return probeDeadlineAtUs;
    }

    /** Records that a probe for this request has ended, and the request was not sent to the server. */
    void recordProbeFailed() {
        probesInFlight--;
    }

    boolean hasProbesInFlight() {
        return probesInFlight > 0;
    }

    boolean isCompleted() {
        return phase == Phase.COMPLETED;
    }

    /** Records that the request needs no response any more. */
    void complete() {
        phase = Phase.COMPLETED;
    }

    /** Returns whether the request is completed and has no attempt in flight. */
    boolean isFinished() {
        return isCompleted() && attemptInFlightOrNull() == null;
    }
}
