package tansypass.balancer;

import java.util.function.Predicate;

/** The queue of requests that no server has capacity for, by priority and then first come first served. */
final class AdmissionQueue {
    private static final long MIN_EXPIRY_INTERVAL_US = 5_000;
    private static final double MIN_LATENCIES_LEFT = 2;
    private static final double MAX_LATE_SHARE = 0.8;
    private static final double QUOTA_BURST_S = 1;

    private final BalancerContext context;
    private final long expiryIntervalUs;
    private final TokenBucket[] quotas;
    private final RunningMean meanPriorityWeight = new RunningMean(AnswerStatistics.MEAN_GAIN, 0);
    private final PriorityList<PendingRequest> queue = new PriorityList<>(pending -> pending.priority);
    private final Predicate<PendingRequest> leavesQueue = this::leavesQueue;
    /** In this pass over the queue, a request that could go anywhere has found no server. */
    private boolean noServerFree;

    private boolean noServerFreeForNonIdempotent;
    private boolean priorityLowered;

    AdmissionQueue(BalancerContext context) {
        this.context = context;
        expiryIntervalUs = Math.max(MIN_EXPIRY_INTERVAL_US, 2 * context.settings.tickUs());
        quotas = TokenBucket.array(context.settings.tenants().size());
    }

    boolean isEmpty() {
        return queue.isEmpty();
    }

    /** When the next pass over the queue is due. */
    long nextPassAt() {
        return queue.isEmpty() ? Long.MAX_VALUE : context.now + expiryIntervalUs;
    }

    /** Sets what a request earns for the work it takes, less if its tenant is beyond this node's part of its quota. */
    void prioritize(PendingRequest pending) {
        BalancerSettings settings = context.settings;
        double weight = pending.requestClass.priorityWeight();
        int tenant = pending.request.tenant();
        double quota = tenant < 0 ? 0 : settings.tenants().get(tenant).quotaPerS() / context.nodes;
        if (quota > 0 && !quotas[tenant].tryTake(context.now, quota, QUOTA_BURST_S)) {
            weight *= settings.overQuotaWeight();
        }
        pending.priorityWeight = weight;
        meanPriorityWeight.add(weight);
        double work = settings.weightByWork() ? 1 : Math.max(1, context.answers.usualLatencyUs(pending));
        pending.priority = weight / work;
    }

    /** A request's priority weight as a multiple of the mean. */
    double relativeWeight(PendingRequest pending) {
        return pending.priorityWeight / meanPriorityWeight.value();
    }

    /** Sends a request by the draw, or lets it wait. */
    void dispatch(PendingRequest pending) {
        if (!queue.isEmpty() || context.now >= pending.deadlineAt || !trySend(pending)) {
            add(pending);
            dispatchQueued();
        }
    }

    private boolean trySend(PendingRequest pending) {
        Server server = context.selector.select(pending);
        if (server != null) {
            context.requests.send(pending, server);
        }
        return server != null;
    }

    void add(PendingRequest pending) {
        pending.queued = true;
        queue.add(pending);
    }

    /** Sends what waits as far as servers allow and ends what has run out of time. */
    void dispatchQueued() {
        if (queue.isEmpty()) {
            return;
        }
        noServerFree = false;
        noServerFreeForNonIdempotent = false;
        priorityLowered = false;
        queue.removeIf(leavesQueue);
        if (priorityLowered) {
            queue.sort();
        }
    }

    private boolean leavesQueue(PendingRequest pending) {
        if (!pending.queued) {
            return true;
        }
        boolean late = isTooLate(pending);
        if (pending.deadlineAt - context.now <= expiryIntervalUs + context.settings.tickUs()
                || (late && pending.requestClass.residualWeight() == 0)
                || !context.rules.canRetry(pending)) {
            context.requests.reject(pending);
            return true;
        }
        if (late && !pending.late) {
            pending.late = true;
            pending.priority *= pending.requestClass.residualWeight();
            priorityLowered = true;
            return false;
        }
        pending.queued = !trySendQueued(pending);
        return !pending.queued;
    }

    private boolean isTooLate(PendingRequest pending) {
        double maxLateUs = MAX_LATE_SHARE * (pending.objectiveAt - pending.arrivedAt);
        double neededUs = MIN_LATENCIES_LEFT * context.answers.usualLatencyUs(pending);
        return pending.objectiveAt - context.now < Math.min(maxLateUs, neededUs);
    }

    private boolean trySendQueued(PendingRequest pending) {
        boolean nonIdempotent = pending.requestClass.idempotency() == Idempotency.NON_IDEMPOTENT;
        boolean futile = noServerFree || (nonIdempotent && noServerFreeForNonIdempotent);
        if (!futile && trySend(pending)) {
            return true;
        }
        // What has not been sent may go anywhere, but for non-idempotent requests and ejected servers: if it finds no
        // server, nor does the next one.
        noServerFreeForNonIdempotent |= pending.attempts == 0;
        noServerFree |= pending.attempts == 0 && !nonIdempotent;
        return false;
    }
}
