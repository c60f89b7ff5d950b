package tansypass.balancer;

import java.util.List;

/**
 * The load balancer after ServiceQ: takes events in and hands them to the parts that decide. Where it departs from the
 * paper, comments say "Exception"; docs/design.md explains these, and all constants.
 */
public final class ServiceQLoadBalancer implements LoadBalancer {
    private static final double FIRST_TRY_TOLERANCE = 0.02;
    private static final double FIRST_TRY_MIN_SHARE = 0.2;
    private static final double MAX_BEST_LATENCY_MULTIPLE = 1.5;
    private static final long RESUBSCRIBE_BACKOFF_US = 250_000;
    private static final long LOG_INTERVAL_US = 1_000_000;

    private final BalancerContext context;
    private final FrequentValue[] firstTryRemainingUs;
    private long subscribeAt = Long.MAX_VALUE;
    private final JitteredBackoff resubscribeBackoff;

    /** A node that has just started. */
    public ServiceQLoadBalancer(BalancerSettings settings, long seed, LoadBalancerActions actions) {
        context = new BalancerContext(settings, seed, actions, LOG_INTERVAL_US);
        firstTryRemainingUs =
                FrequentValue.array(settings.classes().size(), AnswerStatistics.MEAN_GAIN, FIRST_TRY_MIN_SHARE);
        resubscribeBackoff = new JitteredBackoff(RESUBSCRIBE_BACKOFF_US, Math.max(1, settings.maxPollIntervalUs() / 4));
    }

    @Override
    public void onEndpointUpdate(long nowUs, UpdateKind kind, List<ServerEntry> entries) {
        context.now = nowUs;
        context.servers.update(kind, entries);
        context.slowStart.onEndpointUpdate();
        context.selector.onEndpointUpdate();
        if (context.settings.listPolling() && kind == UpdateKind.CACHED) {
            subscribe();
        } else if (context.settings.listPolling()) {
            subscribeAt = Long.MAX_VALUE;
            resubscribeBackoff.reset();
        }
        dispatchQueued();
    }

    @Override
    public void onDiscoveryFailure(long nowUs) {
        context.now = nowUs;
        if (context.settings.listPolling()) {
            // Jittered backoff: nodes that failed together must not ask together again.
            subscribeAt = nowUs + resubscribeBackoff.next(context.random);
            scheduleTimer();
        }
    }

    private void subscribe() {
        context.actions.subscribe();
        subscribeAt = context.now + Math.max(1, context.settings.maxPollIntervalUs() / 2);
    }

    @Override
    public void onClusterSize(long nowUs, int present, int lost) {
        context.now = nowUs;
        // A lost one may only be cut off, and serve; and the few of many that tell so far are not the fleet.
        int nodes = context.settings.nodes();
        context.servers.shareAmong(present == 0 ? nodes : Math.max((nodes + 1) / 2, present + lost));
        dispatchQueued();
    }

    @Override
    public void onRequest(long nowUs, BalancerRequest request) {
        admit(nowUs, request, false);
    }

    @Override
    public void onUploadStarted(long nowUs, BalancerRequest request) {
        admit(nowUs, request, true);
    }

    private void admit(long nowUs, BalancerRequest request, boolean receivingBody) {
        context.now = nowUs;
        if (!context.settings.isKnown(request) || context.requests.byId.containsKey(request.id())) {
            throw new IllegalArgumentException("unknown class or tenant, or an id that is held: " + request);
        }
        long elapsedUs = elapsedBeforeUs(request);
        PendingRequest pending = new PendingRequest(request, context.settings, nowUs, elapsedUs);
        pending.receivingBody = receivingBody;
        context.requests.byId.put(request.id(), pending);
        if (elapsedUs == 0) {
            context.limiter.recordFirstTry();
        }
        context.queue.prioritize(pending);
        if (context.rules.isWorthless(pending)) {
            context.requests.reject(pending);
            return;
        }
        if (!context.queue.isEmpty() || nowUs >= pending.deadlineAt || !context.probes.tryStart(pending)) {
            context.queue.dispatch(pending);
        }
        scheduleTimer();
    }

    /** How long a client has been asking before this try, which its time left tells: first tries' is the usual one. */
    private long elapsedBeforeUs(BalancerRequest request) {
        long deadlineUs = context.settings.classes().get(request.classIndex()).deadlineUs();
        boolean usual = firstTryRemainingUs[request.classIndex()].recordAndTest(
                request.remainingUs(), FIRST_TRY_TOLERANCE * deadlineUs);
        return usual ? 0 : Math.max(0, deadlineUs - request.remainingUs());
    }

    @Override
    public void onUploadCompleted(long nowUs, long requestId) {
        PendingRequest pending = find(nowUs, requestId);
        if (pending == null || !pending.receivingBody) {
            return;
        }
        pending.restartDeadline(nowUs);
        int attempt = pending.attempts - 1;
        if (pending.attemptsInFlight > 0) {
            pending.sentAt[attempt] = nowUs;
            context.servers.addInFlight(pending.servers[attempt], 1);
            if (!pending.completed) {
                context.actions.setAttemptDeadline(requestId, attempt, context.rules.attemptDeadline(pending));
            }
        }
    }

    private PendingRequest find(long nowUs, long requestId) {
        context.now = nowUs;
        return context.requests.byId.get(requestId);
    }

    @Override
    public void onBodyNotReplayable(long nowUs, long requestId) {
        PendingRequest pending = find(nowUs, requestId);
        if (pending != null) {
            pending.bodyNotReplayable = true;
        }
    }

    @Override
    public void onOutcome(long nowUs, AttemptOutcome outcome) {
        PendingRequest pending = find(nowUs, outcome.requestId());
        int attempt = outcome.attempt();
        if (pending == null || attempt < 0 || attempt >= pending.attempts || pending.results[attempt] != null) {
            return;
        }
        Server server = pending.servers[attempt];
        AttemptResult result = outcome.result();
        pending.results[attempt] = result;
        pending.attemptsInFlight--;
        if (result == AttemptResult.OK || result == AttemptResult.ERROR || result == AttemptResult.OVERLOADED) {
            server.idleConnections.add(nowUs, nowUs - context.settings.idleTimeoutUs());
        }
        if (!pending.relaying) {
            recordOutcome(pending, outcome);
        } else if (result == AttemptResult.RESET || result == AttemptResult.TIMEOUT) {
            context.ejection.recordFailure(server, true);
        }
        if (outcome.requestEnded()) {
            context.requests.complete(pending);
        } else if (!pending.completed && pending.attemptsInFlight == 0) {
            retryOnNextServer(pending, server);
        }
        context.requests.removeIfOver(pending);
        dispatchQueued();
    }

    /** What an attempt tells of its server and of the fleet, once it takes no more of its server's work. */
    private void recordOutcome(PendingRequest pending, AttemptOutcome outcome) {
        Server server = pending.servers[outcome.attempt()];
        AttemptResult result = outcome.result();
        context.servers.addInFlight(server, pending.receivingBody ? 0 : -1);
        boolean tells = result != AttemptResult.CANCELLED && result != AttemptResult.NOT_SENT;
        if (result == AttemptResult.OK) {
            server.failureRate.add(0);
            context.ejection.recordSuccess(server);
        } else if (tells) {
            recordFailure(server, result, pending.sentAt[outcome.attempt()]);
        }
        if (result == AttemptResult.OK || result == AttemptResult.ERROR) {
            server.answeredAt = context.now;
        }
        if (result == AttemptResult.OK || result == AttemptResult.TIMEOUT) {
            context.latencies.recordAnswer(pending, outcome);
            context.limiter.recordAnswer(earned(pending, outcome));
        }
        if (tells) {
            context.answers.lateRatio.add(result != AttemptResult.OK || context.now > pending.objectiveAt ? 1 : 0);
        }
        if (result == AttemptResult.OK) {
            context.answers.record(pending, outcome.latencyUs(), context.now, context.slowStart.presentCapacity());
        }
        context.limiter.recordOutcome(pending, outcome);
    }

    private void recordFailure(Server server, AttemptResult result, long sentAt) {
        // A time-out of a server that has answered since tells of crowding, as being full does: the limit heeds it.
        boolean timeout = result == AttemptResult.TIMEOUT;
        boolean crowded = result == AttemptResult.OVERLOADED || (timeout && server.answeredAt >= sentAt);
        context.ejection.recordFailure(server, !crowded);
        if (result != AttemptResult.OVERLOADED && !timeout) {
            server.failureRate.add(1);
            context.latencies.record(server, RelativeLatencies.FAILURE_LATENCY);
        }
    }

    /** What an answer earned: 1 in time, or when it takes longer than its objective at best, as all may at first. */
    private double earned(PendingRequest pending, AttemptOutcome outcome) {
        boolean longAtBest = outcome.latencyUs() < MAX_BEST_LATENCY_MULTIPLE * context.answers.leastLatencyUs(pending);
        boolean inTime = context.now <= pending.objectiveAt || longAtBest;
        return outcome.result() != AttemptResult.OK ? 0 : inTime ? 1 : pending.requestClass.residualWeight();
    }

    /** A failed request goes to the next server in list order, or waits, or has its final answer. */
    private void retryOnNextServer(PendingRequest pending, Server failed) {
        if (!context.rules.canRetry(pending)) {
            context.requests.reject(pending);
            return;
        }
        Server next = context.selector.selectNext(pending, failed);
        if (next != null) {
            context.requests.send(pending, next);
        } else {
            context.queue.add(pending);
        }
    }

    @Override
    public void onResponseStarted(long nowUs, long requestId, int attempt) {
        PendingRequest pending = find(nowUs, requestId);
        if (pending == null) {
            return;
        }
        pending.responseStarted = true;
        boolean open = attempt == pending.attempts - 1 && pending.results[attempt] == null;
        // A long answer on its way takes the network's time, not the server's.
        if (open && !pending.requestClass.stream() && !pending.relaying) {
            pending.relaying = true;
            long tookUs = nowUs - pending.sentAt[attempt];
            recordOutcome(pending, new AttemptOutcome(requestId, attempt, AttemptResult.OK, tookUs, true, null));
            dispatchQueued();
        }
    }

    @Override
    public void onClientDisconnect(long nowUs, long requestId) {
        PendingRequest pending = find(nowUs, requestId);
        if (pending != null) {
            context.requests.complete(pending);
        }
    }

    @Override
    public void onProbe(long nowUs, String serverId, AttemptResult result, long tookUs, double[] report) {
        context.now = nowUs;
        Server server = context.servers.byId.get(serverId);
        if (server != null && server.probeInFlight) {
            context.probes.onResult(server, result, tookUs);
            dispatchQueued();
        }
    }

    @Override
    public void onTimer(long nowUs) {
        context.now = nowUs;
        context.onTimer();
        if (nowUs >= subscribeAt) {
            subscribe();
        }
        context.probes.dispatchUnanswered();
        dispatchQueued();
    }

    private void dispatchQueued() {
        context.queue.dispatchQueued();
        scheduleTimer();
    }

    private void scheduleTimer() {
        context.scheduleTimer(
                Math.min(subscribeAt, Math.min(context.queue.nextPassAt(), context.probes.nextDeadlineAt())));
    }

    @Override
    public int serverCount() {
        return context.servers.listed.size();
    }

    @Override
    public int excludedServerCount() {
        return context.servers.listed.size() - context.servers.ready.length + context.servers.ejectedCount;
    }
}
