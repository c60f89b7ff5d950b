package tansypass.balancer;

import java.util.List;
import java.util.SplittableRandom;

/**
 * A load balancer that uses the power of two choices, weighted by errors. It draws two servers at random, by
 * weights that fall with each server's errors, and sends the request to the one with fewer attempts in flight. This
 * class passes each event to the classes that make the decisions.
 *
 * <p>The algorithm is based on "Adaptive Request Modeling in Clusters during Adverse States" (ServiceQ). Comments mark
 * each departure from the paper; docs/design.md explains them.
 */
public final class WeightedTwoChoicesLoadBalancer implements LoadBalancer {
    private final BalancerSettings settings;
    private final ClusterSize clusterSize;
    private final EndpointTable servers;
    private final EndpointSubscription subscription;
    private final SlowStart slowStart;
    private final ClientThrottle throttle;
    private final ConcurrencyLimiter limiter;
    private final RetryRules rules;
    private final ServerSelector selector;
    private final PendingRequests requests;
    private final AttemptSender sender;
    private final AdmissionQueue queue;
    private final ProbeSelection probes;
    private final OutcomeRecorder outcomes;
    private final ElapsedTimeEstimator elapsedTimes;
    private final WakeUpTimer timer;

    /**
     * Creates a load balancer without servers or requests.
     *
     * @param seed seed of all random draws
     */
    public WeightedTwoChoicesLoadBalancer(BalancerSettings settings, long seed, LoadBalancerActions actions) {
        this.settings = settings;
        SplittableRandom random = new SplittableRandom(seed);
        RateLimitedHealthNotifier notifier = new RateLimitedHealthNotifier(actions);
        ResponseStatistics responses = new ResponseStatistics(settings.classes().size());
        ConnectionTracker connections = new ConnectionTracker(settings);
        ErrorWeights weights = new ErrorWeights();
        clusterSize = new ClusterSize(settings.nodes());
        timer = new WakeUpTimer(actions);
        elapsedTimes = new ElapsedTimeEstimator(settings);
        subscription = new EndpointSubscription(settings, actions, random);
        rules = new RetryRules(settings);
        throttle = new ClientThrottle();
        servers = new EndpointTable(clusterSize, random, notifier);
        requests = new PendingRequests(settings, actions, rules);
        slowStart = new SlowStart(settings, servers, responses);
        OutlierEjection ejection = new OutlierEjection(clusterSize, servers, weights, random, notifier);
        RelativeLatencies latencies = new RelativeLatencies(settings, servers, responses, connections);
        limiter = new ConcurrencyLimiter(settings, clusterSize, servers, responses, slowStart, throttle);
        ServerAdmission admission = new ServerAdmission(slowStart, limiter, throttle, rules);
        selector = new ServerSelector(settings, servers, weights, latencies, admission, random);
        sender = new AttemptSender(actions, servers, rules, responses, slowStart, throttle, connections);
        queue = new AdmissionQueue(settings, clusterSize, responses, rules, selector, sender, requests);
        probes = new ProbeSelection(
                settings, actions, clusterSize, servers, responses, latencies, admission, selector, sender, queue);
        outcomes = new OutcomeRecorder(
                servers, weights, ejection, latencies, slowStart, limiter, throttle, responses, connections);
    }

    @Override
    public void onEndpointUpdate(long nowUs, UpdateKind kind, List<ServerEntry> entries) {
        servers.update(kind, entries, nowUs);
        slowStart.onEndpointUpdate();
        selector.onEndpointUpdate();
        subscription.onEndpointUpdate(kind, nowUs);
        dispatchQueued(nowUs);
    }

    @Override
    public void onDiscoveryFailure(long nowUs) {
        subscription.onFailure(nowUs);
        if (settings.listPolling()) {
            scheduleTimer(nowUs);
        }
    }

    @Override
    public void onClusterSize(long nowUs, int presentNodes, int lostNodes) {
        int nodesBefore = clusterSize.nodes();
        clusterSize.update(presentNodes, lostNodes);
        limiter.scaleLimits((double) nodesBefore / clusterSize.nodes());
        dispatchQueued(nowUs);
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
        if (!settings.hasClassAndTenant(request) || requests.contains(request.id())) {
            throw new IllegalArgumentException("unknown class or tenant, or an id that is in flight: " + request);
        }
        long elapsedUs = elapsedTimes.recordRequest(request);
        if (elapsedUs == 0) {
            throttle.recordFirstTry();
        }
        PendingRequest pending = new PendingRequest(request, settings, receivingBody, elapsedUs, nowUs);
        requests.add(pending);
        queue.prioritize(pending, nowUs);
        if (rules.hasNoValue(pending, nowUs)) {
            requests.reject(pending, nowUs);
            return;
        }
        dispatch(pending, nowUs);
        scheduleTimer(nowUs);
    }

    private void dispatch(PendingRequest pending, long nowUs) {
        boolean canProbe = queue.isEmpty() && nowUs < pending.deadlineAtUs();
        if (!canProbe || !probes.tryStart(pending, nowUs)) {
            queue.dispatch(pending, nowUs);
        }
    }

    @Override
    public void onUploadCompleted(long nowUs, long requestId) {
        PendingRequest pending = requests.findOrNull(requestId);
        if (pending != null && pending.isReceivingBody()) {
            pending.completeBody(nowUs);
            sender.onBodyComplete(pending, nowUs);
        }
    }

    @Override
    public void onBodyNotReplayable(long nowUs, long requestId) {
        PendingRequest pending = requests.findOrNull(requestId);
        if (pending != null) {
            pending.markBodyNotReplayable();
        }
    }

    @Override
    public void onOutcome(long nowUs, AttemptOutcome outcome) {
        PendingRequest pending = requests.findOrNull(outcome.requestId());
        if (pending == null) {
            return;
        }
        Attempt attempt = pending.attemptInFlightOrNull(outcome.attempt());
        if (attempt == null) {
            return;
        }
        attempt.end(outcome.result());
        outcomes.recordConnection(attempt.server(), outcome.result(), nowUs);
        if (pending.isRelaying()) {
            outcomes.recordRelayEnd(attempt.server(), outcome.result(), nowUs);
        } else {
            outcomes.recordOutcome(pending, attempt, outcome.result(), outcome.latencyUs(), nowUs);
        }
        if (outcome.requestEnded()) {
            requests.complete(pending);
        } else if (!pending.isCompleted()) {
            retryOnNextServer(pending, attempt.server(), nowUs);
        }
        requests.removeIfFinished(pending);
        dispatchQueued(nowUs);
    }

    /** Sends a request whose attempt has failed to the next server in list order, queues it or ends it. */
    private void retryOnNextServer(PendingRequest pending, Server failed, long nowUs) {
        if (!rules.canRetry(pending, nowUs)) {
            requests.reject(pending, nowUs);
            return;
        }
        Server next = selector.selectNextOrNull(pending, failed, nowUs);
        if (next == null) {
            queue.add(pending);
        } else {
            sender.send(pending, next, nowUs);
        }
    }

    @Override
    public void onResponseStarted(long nowUs, long requestId, int attemptNumber) {
        PendingRequest pending = requests.findOrNull(requestId);
        if (pending == null) {
            return;
        }
        pending.markResponseStarted();
        Attempt attempt = pending.attemptInFlightOrNull(attemptNumber);
        if (attempt != null && !pending.requestClass().stream() && !pending.isRelaying()) {
            // The rest of a long response takes time on the network, but no more work of the server.
            pending.startRelaying();
            long latencyUs = nowUs - attempt.sentAtUs();
            outcomes.recordOutcome(pending, attempt, AttemptResult.OK, latencyUs, nowUs);
            dispatchQueued(nowUs);
        }
    }

    @Override
    public void onClientDisconnect(long nowUs, long requestId) {
        PendingRequest pending = requests.findOrNull(requestId);
        if (pending != null) {
            requests.complete(pending);
        }
    }

    @Override
    public void onProbe(long nowUs, String serverId, AttemptResult result, long latencyUs, double[] report) {
        Server server = servers.findOrNull(serverId);
        if (server != null && server.probe.isInFlight()) {
            probes.onResult(server, result, latencyUs, nowUs);
            dispatchQueued(nowUs);
        }
    }

    @Override
    public void onTimer(long nowUs) {
        timer.onFired(nowUs);
        subscription.onTimer(nowUs);
        probes.dispatchExpired(nowUs);
        dispatchQueued(nowUs);
    }

    private void dispatchQueued(long nowUs) {
        queue.dispatchQueued(nowUs);
        scheduleTimer(nowUs);
    }

    private void scheduleTimer(long nowUs) {
        long requestsDueAtUs = Math.min(queue.nextPassAtUs(nowUs), probes.nextDeadlineAtUs());
        timer.scheduleAt(Math.min(subscription.dueAtUs(), requestsDueAtUs), nowUs);
    }

    @Override
    public int serverCount() {
        return servers.listedCount();
    }

    /** Returns the number of tracked servers: those on the list, and removed ones that still had attempts in flight. */
    int trackedServerCount() {
        return servers.tracked().size();
    }

    @Override
    public int excludedServerCount() {
        return servers.listedCount() - servers.ready().length + servers.ejectedCount();
    }
}
