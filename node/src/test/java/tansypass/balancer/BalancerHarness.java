package tansypass.balancer;

import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;

/** A load balancer under test, with a manual clock and a record of the actions that it calls. */
final class BalancerHarness implements TextLogActions {
    static final int IDEMPOTENT = 0;
    static final int KEYED_ALL = 1;
    static final int KEYED_ZONE = 2;
    static final int KEYED_CELL = 3;
    static final int NON_IDEMPOTENT = 4;

    private static final List<RequestClass> REQUEST_CLASSES = List.of(
            createRequestClass("safe", Idempotency.IDEMPOTENT, DeduplicationScope.ALL),
            createRequestClass("keyed-all", Idempotency.KEYED, DeduplicationScope.ALL),
            createRequestClass("keyed-zone", Idempotency.KEYED, DeduplicationScope.ZONE),
            createRequestClass("keyed-cell", Idempotency.KEYED, DeduplicationScope.CELL),
            createRequestClass("unsafe", Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL));

    /** An attempt that the load balancer has sent. */
    record SentAttempt(long sentAtUs, long requestId, int number, String server, long timeoutAtUs) {}

    final BalancerSettings settings;
    final List<SentAttempt> sentAttempts = new ArrayList<>();
    final List<Long> rejectedIds = new ArrayList<>();
    final List<Long> failedIds = new ArrayList<>();
    final List<String> cancelledAttempts = new ArrayList<>();
    final List<String> attemptDeadlines = new ArrayList<>();
    final List<String> logLines = new ArrayList<>();
    final List<String> probedServers = new ArrayList<>();
    int subscriptionCount;
    long nowUs = 1_000_000;
    private final List<Long> timerDueTimesUs = new ArrayList<>();
    private long nextId = 1;
    LoadBalancer balancer;

    BalancerHarness(BalancerSettings.Builder settings, long seed) {
        this(settings.build(), seed);
    }

    BalancerHarness(BalancerSettings settings, long seed) {
        this.settings = settings;
        balancer = new WeightedTwoChoicesLoadBalancer(settings, seed, this);
    }

    BalancerHarness() {
        this(createSettings(), 7);
    }

    static BalancerSettings.Builder createSettings() {
        return BalancerSettings.builder()
                .zones(List.of("here", "there"))
                .classes(REQUEST_CLASSES)
                .tenants(List.of(new Tenant("tenant", 0)))
                .maxAttempts(4)
                .hedging(true)
                .cancel(true);
    }

    static RequestClass createRequestClass(String name, Idempotency idempotency, DeduplicationScope scope) {
        return new RequestClass(name, 200_000, 0, 1_000_000, 1, 0, idempotency, scope, 400_000, false);
    }

    /** Returns the request classes, each replaced by the result of the function. */
    static List<RequestClass> changeRequestClasses(UnaryOperator<RequestClass> change) {
        return REQUEST_CLASSES.stream().map(change).toList();
    }

    /** Returns settings with a residual weight, so that requests continue after their latency objective has passed. */
    static BalancerSettings.Builder createSettingsWithResidualWeight() {
        return createSettings()
                .classes(changeRequestClasses(c -> new RequestClass(
                        c.name(),
                        c.latencyObjectiveUs(),
                        0,
                        c.deadlineUs(),
                        c.priorityWeight(),
                        0.5,
                        c.idempotency(),
                        c.deduplicationScope(),
                        c.deduplicationWindowUs(),
                        c.stream())));
    }

    static ServerEntry createServer(String id) {
        return new ServerEntry(id, 0, 0, ServerState.READY, 1, 0);
    }

    /** Reports the first endpoint list: servers s0, s1 and so on, all of them warm and in the same zone and cell. */
    BalancerHarness withServers(int count) {
        List<ServerEntry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            entries.add(createServer("s" + i));
        }
        return updateEndpoints(UpdateKind.CACHED, entries);
    }

    /** Reports an update of the endpoint list. */
    BalancerHarness updateEndpoints(UpdateKind kind, List<ServerEntry> entries) {
        balancer.onEndpointUpdate(nowUs, kind, entries);
        return this;
    }

    /** Submits a request with a deadline in one second, and returns its id. */
    long submitRequest(int classIndex) {
        return submitRequest(classIndex, 1_000_000);
    }

    /** Submits a request with this time until its deadline, and returns its id. */
    long submitRequest(int classIndex, long remainingUs) {
        return submitRequest(classIndex, 0, remainingUs);
    }

    /** Submits a request of a tenant with this time until its deadline, and returns its id. */
    long submitRequest(int classIndex, int tenant, long remainingUs) {
        long id = nextId++;
        balancer.onRequest(nowUs, new BalancerRequest(id, classIndex, tenant, remainingUs, 0, false));
        return id;
    }

    /** Returns the newest attempt of a request, or null if none was sent. */
    SentAttempt lastAttempt(long requestId) {
        for (int i = sentAttempts.size() - 1; i >= 0; i--) {
            if (sentAttempts.get(i).requestId == requestId) {
                return sentAttempts.get(i);
            }
        }
        return null;
    }

    /** Returns the number of attempts that were sent for a request. */
    int countAttempts(long requestId) {
        return (int) sentAttempts.stream().filter(s -> s.requestId == requestId).count();
    }

    /** Returns the number of attempts that were sent to a server. */
    long countSentTo(String server) {
        return sentAttempts.stream().filter(s -> s.server.equals(server)).count();
    }

    /** Advances the clock, and then ends a request's newest attempt. */
    void endAttempt(long requestId, AttemptResult result, long delayUs) {
        advance(delayUs);
        SentAttempt attempt = lastAttempt(requestId);
        balancer.onOutcome(
                nowUs,
                new AttemptOutcome(
                        requestId, attempt.number, result, nowUs - attempt.sentAtUs, result == AttemptResult.OK, null));
    }

    /** Submits a request, ends its first attempt after some time, and returns the server of that attempt. */
    String runRequest(int classIndex, AttemptResult result, long delayUs) {
        long id = submitRequest(classIndex);
        String server = lastAttempt(id).server;
        endAttempt(id, result, delayUs);
        return server;
    }

    /** Ends all probes by a timeout. */
    void endProbes() {
        List<String> pending = new ArrayList<>(probedServers);
        probedServers.clear();
        pending.forEach(server -> balancer.onProbe(nowUs, server, AttemptResult.TIMEOUT, 60_000, null));
    }

    /** Advances the clock, and fires the timers that become due. */
    void advance(long durationUs) {
        long endUs = nowUs + durationUs;
        while (true) {
            long nextTimerUs = timerDueTimesUs.stream().mapToLong(t -> t).min().orElse(Long.MAX_VALUE);
            if (nextTimerUs > endUs) {
                break;
            }
            timerDueTimesUs.remove(nextTimerUs);
            nowUs = Math.max(nowUs, nextTimerUs);
            balancer.onTimer(nowUs);
        }
        nowUs = endUs;
    }

    @Override
    public void send(long requestId, String serverId, long timeoutAtUs) {
        sentAttempts.add(new SentAttempt(nowUs, requestId, countAttempts(requestId), serverId, timeoutAtUs));
    }

    @Override
    public void setAttemptDeadline(long requestId, int attempt, long timeoutAtUs) {
        attemptDeadlines.add(requestId + "/" + attempt + " at " + timeoutAtUs);
    }

    @Override
    public void cancel(long requestId, int attempt) {
        cancelledAttempts.add(requestId + "/" + attempt);
    }

    @Override
    public void reject(long requestId, long retryAfterUs) {
        rejectedIds.add(requestId);
    }

    @Override
    public void fail(long requestId) {
        failedIds.add(requestId);
    }

    @Override
    public void scheduleTimer(long atUs) {
        timerDueTimesUs.add(atUs);
    }

    @Override
    public void probe(String serverId) {
        probedServers.add(serverId);
    }

    @Override
    public void subscribe() {
        subscriptionCount++;
    }

    @Override
    public void log(String line) {
        logLines.add(line);
    }
}
