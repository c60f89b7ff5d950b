package tansypass.balancer;

/** The queue of requests that wait for a server with capacity, ordered by priority and then by arrival. */
final class AdmissionQueue {
    /** Shortest interval between the timed passes over the queue, which reject expired requests. */
    private static final long MIN_EXPIRY_INTERVAL_US = 5_000;

    /** A request is late if the time to its objective is less than this multiple of its class's mean latency. */
    private static final double LATE_MEAN_LATENCIES = 2;

    /** A request is not late while at least this share of the time from its arrival to its objective is left. */
    private static final double MAX_LATE_SHARE = 0.8;

    /** Largest burst of a tenant's requests, in seconds of its quota. */
    private static final double QUOTA_BURST_S = 1;

    /** The requests that the present pass over the queue can still send. */
    private enum Availability {
        ANY,
        /** Only ejected servers may have capacity left. Non-idempotent requests are not sent to ejected servers. */
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
    /** The requests that can still be sent in the present pass over the queue. */
    private Availability availability = Availability.ANY;

    /** True if the present pass over the queue has lowered a priority: the queue must then be sorted again. */
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

    /** Returns the time of the next pass over the queue, {@link Long#MAX_VALUE} if the queue is empty. */
    long nextPassAtUs(long nowUs) {
        return queue.isEmpty() ? Long.MAX_VALUE : nowUs + expiryIntervalUs;
    }

    /** Sets a request's priority to its weight per unit of work. The weight is reduced if its tenant is over quota. */
    void prioritize(PendingRequest pending, long nowUs) {
        double weight = pending.requestClass().priorityWeight();
        if (!tryTakeQuota(pending.tenant(), nowUs)) {
            weight *= settings.overQuotaWeight();
        }
        meanPriorityWeight.add(weight);
        double workUnits = settings.weightByWork() ? 1 : Math.max(1, responses.meanLatencyUs(pending));
        pending.setPriority(weight, weight / workUnits);
    }

    /** Takes one request from this node's share of a tenant's quota. Returns whether the quota allows the request. */
    private boolean tryTakeQuota(int tenant, long nowUs) {
        if (tenant < 0) {
            return true;
        }
        double quotaPerS = settings.tenants().get(tenant).quotaPerS() / clusterSize.nodes();
        return quotaPerS <= 0 || quotas[tenant].tryTake(nowUs, quotaPerS, QUOTA_BURST_S);
    }

    /** Returns a request's priority weight as a multiple of the mean weight of all requests. */
    double relativeWeight(PendingRequest pending) {
        return pending.priorityWeight() / meanPriorityWeight.value();
    }

    /** Sends a request to a server that has capacity for it, or queues the request. */
    void dispatch(PendingRequest pending, long nowUs) {
        boolean canSendNow = queue.isEmpty() && nowUs < pending.deadlineAtUs();
        if (!canSendNow || !trySend(pending, nowUs)) {
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

    /** Passes over the queue: sends the requests that servers have capacity for, and rejects expired ones. */
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

    /** Returns whether a request has no chance of success any more, or will have none at the next pass. */
    private boolean isExpired(PendingRequest pending, boolean late, long nowUs) {
        return pending.deadlineAtUs() - nowUs <= expiryIntervalUs + settings.tickUs()
                || (late && pending.requestClass().residualWeight() == 0)
                || !rules.canRetry(pending, nowUs);
    }

    /** Returns whether a request is unlikely to meet its latency objective. */
    private boolean isLate(PendingRequest pending, long nowUs) {
        double maxLateUs = MAX_LATE_SHARE * (pending.objectiveAtUs() - pending.arrivedAtUs());
        double expectedUs = LATE_MEAN_LATENCIES * responses.meanLatencyUs(pending);
        return pending.objectiveAtUs() - nowUs < Math.min(maxLateUs, expectedUs);
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
            // A request without attempts can go to any server. If none admits it, none admits a later one either.
            availability = pending.isNonIdempotent() ? Availability.NOT_FOR_NON_IDEMPOTENT : Availability.NONE;
        }
    }
}
