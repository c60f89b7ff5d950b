package tansypass.balancer;

/** The queue of requests that no server has capacity for, by priority and then first come, first served. */
final class AdmissionQueue {
    /** Shortest time between two passes over the queue. */
    private static final long MIN_EXPIRY_INTERVAL_US = 5_000;

    /** A request with fewer mean latencies of its class left to its objective is late. */
    private static final double MIN_LATENCIES_LEFT = 2;

    /** But it is late only with less than this share of the objective left. */
    private static final double MAX_LATE_SHARE = 0.8;

    /** Seconds of its quota that a tenant may use up at once. */
    private static final double QUOTA_BURST_S = 1;

    /** Which requests a pass over the queue can still send. */
    private enum Availability {
        ANY,
        /** No server is free but ejected ones, which non-idempotent requests are not sent to. */
        NOT_FOR_NON_IDEMPOTENT,
        NONE
    }

    private final BalancerSettings settings;
    private final ClusterSize clusterSize;
    private final ResponseStatistics responses;
    private final RetryRules rules;
    private final ServerSelector selector;
    private final AttemptSender sender;
    private final PendingRequests requests;
    private final long expiryIntervalUs;
    private final TokenBucket[] quotas;
    private final RunningMean meanPriorityWeight = new RunningMean(ResponseStatistics.MEAN_GAIN, 0);
    private final StablePriorityQueue<PendingRequest> queue = new StablePriorityQueue<>(PendingRequest::priority);
    /** In the present pass over the queue. */
    private Availability availability = Availability.ANY;

    /** Whether the present pass over the queue has lowered a priority, so that the queue must be sorted. */
    private boolean priorityLowered;

    AdmissionQueue(
            BalancerSettings settings,
            ClusterSize clusterSize,
            ResponseStatistics responses,
            RetryRules rules,
            ServerSelector selector,
            AttemptSender sender,
            PendingRequests requests) {
        this.settings = settings;
        this.clusterSize = clusterSize;
        this.responses = responses;
        this.rules = rules;
        this.selector = selector;
        this.sender = sender;
        this.requests = requests;
        expiryIntervalUs = Math.max(MIN_EXPIRY_INTERVAL_US, 2 * settings.tickUs());
        quotas = TokenBucket.array(settings.tenants().size());
    }

    boolean isEmpty() {
        return queue.isEmpty();
    }

    /** When the next pass over the queue is due, {@link Long#MAX_VALUE} for never. */
    long nextPassAtUs(long nowUs) {
        return queue.isEmpty() ? Long.MAX_VALUE : nowUs + expiryIntervalUs;
    }

    /** Sets a request's priority: its weight, lower beyond its tenant's quota, for each unit of its work. */
    void prioritize(PendingRequest pending, long nowUs) {
        double weight = pending.requestClass().priorityWeight();
        if (!tryTakeQuota(pending.tenant(), nowUs)) {
            weight *= settings.overQuotaWeight();
        }
        meanPriorityWeight.add(weight);
        double work = settings.weightByWork() ? 1 : Math.max(1, responses.meanLatencyUs(pending));
        pending.setPriority(weight, weight / work);
    }

    /** Takes a request from this node's part of a tenant's quota; returns whether it is within the quota. */
    private boolean tryTakeQuota(int tenant, long nowUs) {
        if (tenant < 0) {
            return true;
        }
        double quotaPerS = settings.tenants().get(tenant).quotaPerS() / clusterSize.nodes();
        return quotaPerS <= 0 || quotas[tenant].tryTake(nowUs, quotaPerS, QUOTA_BURST_S);
    }

    /** A request's priority weight as a multiple of the mean. */
    double relativeWeight(PendingRequest pending) {
        return pending.priorityWeight() / meanPriorityWeight.value();
    }

    /** Sends a request to a server that is drawn, or queues it. */
    void dispatch(PendingRequest pending, long nowUs) {
        boolean mayBeSent = queue.isEmpty() && nowUs < pending.deadlineAtUs();
        if (!mayBeSent || !trySend(pending, nowUs)) {
            add(pending);
            dispatchQueued(nowUs);
        }
    }

    private boolean trySend(PendingRequest pending, long nowUs) {
        Server server = selector.selectOrNull(pending, nowUs);
        if (server == null) {
            return false;
        }
        sender.send(pending, server, nowUs);
        return true;
    }

    void add(PendingRequest pending) {
        pending.markQueued();
        queue.add(pending);
    }

    /** Passes over the queue: sends what the servers have capacity for, and rejects what can't succeed any more. */
    void dispatchQueued(long nowUs) {
        if (queue.isEmpty()) {
            return;
        }
        availability = Availability.ANY;
        priorityLowered = false;
        for (int i = 0; i < queue.size(); i++) {
            PendingRequest pending = queue.get(i);
            if (pending.isQueued()) {
                processQueued(pending, nowUs);
            }
        }
        queue.removeIf(PendingRequest::hasLeftQueue);
        if (priorityLowered) {
            queue.sort();
        }
    }

    private void processQueued(PendingRequest pending, long nowUs) {
        boolean late = isLate(pending, nowUs);
        if (isExpired(pending, late, nowUs)) {
            requests.reject(pending, nowUs);
        } else if (late && !pending.isPriorityLowered()) {
            pending.lowerPriority();
            priorityLowered = true;
        } else if (canBeSent(pending)) {
            trySendQueued(pending, nowUs);
        }
    }

    /** Whether a request has no chance left, or will have none at the next pass. */
    private boolean isExpired(PendingRequest pending, boolean late, long nowUs) {
        return pending.deadlineAtUs() - nowUs <= expiryIntervalUs + settings.tickUs()
                || (late && pending.requestClass().residualWeight() == 0)
                || !rules.canRetry(pending, nowUs);
    }

    /** Whether a request is unlikely to meet its latency objective. */
    private boolean isLate(PendingRequest pending, long nowUs) {
        double maxLateUs = MAX_LATE_SHARE * (pending.objectiveAtUs() - pending.arrivedAtUs());
        double neededUs = MIN_LATENCIES_LEFT * responses.meanLatencyUs(pending);
        return pending.objectiveAtUs() - nowUs < Math.min(maxLateUs, neededUs);
    }

    private boolean canBeSent(PendingRequest pending) {
        return switch (availability) {
            case ANY -> true;
            case NOT_FOR_NON_IDEMPOTENT -> !pending.isNonIdempotent();
            case NONE -> false;
        };
    }

    private void trySendQueued(PendingRequest pending, long nowUs) {
        boolean sent = trySend(pending, nowUs);
        if (!sent && pending.attemptCount() == 0) {
            // A request without attempts may go to any server: what it did not find, the next one does not find either.
            availability = pending.isNonIdempotent() ? Availability.NOT_FOR_NON_IDEMPOTENT : Availability.NONE;
        }
    }
}
