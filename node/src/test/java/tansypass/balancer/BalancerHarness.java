package tansypass.balancer;

import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;

/** A balancer with a manual clock and a record of the actions it takes, for tests. */
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

    /** An attempt as the balancer sent it. */
    record SentAttempt(long atUs, long request, int attempt, String server, long untilUs) {}

    final BalancerSettings settings;
    final List<SentAttempt> sent = new ArrayList<>();
    final List<Long> rejected = new ArrayList<>();
    final List<Long> failed = new ArrayList<>();
    final List<String> cancelled = new ArrayList<>();
    final List<String> deadlines = new ArrayList<>();
    final List<String> logged = new ArrayList<>();
    final List<String> probed = new ArrayList<>();
    int subscriptions;
    long now = 1_000_000;
    private final List<Long> timers = new ArrayList<>();
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

    static RequestClass createRequestClass(String name, Idempotency repeat, DeduplicationScope group) {
        return new RequestClass(name, 200_000, 0, 1_000_000, 1, 0, repeat, group, 400_000, false);
    }

    /** The request classes, each changed by the function. */
    static List<RequestClass> changeRequestClasses(UnaryOperator<RequestClass> change) {
        return REQUEST_CLASSES.stream().map(change).toList();
    }

    /** Settings with a residual weight, under which requests past their latency objective continue. */
    static BalancerSettings.Builder settingsWithResidualWeight() {
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

    /** Sends the first endpoint list: servers s0, s1, ... all warm, in one zone and cell. */
    BalancerHarness withServers(int servers) {
        List<ServerEntry> entries = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            entries.add(createServer("s" + i));
        }
        return updateEndpoints(UpdateKind.CACHED, entries);
    }

    /** Sends an endpoint list. */
    BalancerHarness updateEndpoints(UpdateKind kind, List<ServerEntry> entries) {
        balancer.onEndpointUpdate(now, kind, entries);
        return this;
    }

    /** Submits a request with a deadline in one second; returns its id. */
    long submitRequest(int classIndex) {
        return submitRequest(classIndex, 1_000_000);
    }

    /** Submits a request with this time left; returns its id. */
    long submitRequest(int classIndex, long leftUs) {
        return submitRequest(classIndex, 0, leftUs);
    }

    /** Submits a request of a tenant with this time left; returns its id. */
    long submitRequest(int classIndex, int tenant, long leftUs) {
        long id = nextId++;
        balancer.onRequest(now, new BalancerRequest(id, classIndex, tenant, leftUs, 0, false));
        return id;
    }

    /** Returns the newest attempt of a request, or null if none was sent. */
    SentAttempt lastAttempt(long request) {
        for (int i = sent.size() - 1; i >= 0; i--) {
            if (sent.get(i).request == request) {
                return sent.get(i);
            }
        }
        return null;
    }

    /** Returns the number of attempts sent of a request. */
    int countAttempts(long request) {
        return (int) sent.stream().filter(s -> s.request == request).count();
    }

    /** Returns the number of attempts sent to a server. */
    long countSentTo(String server) {
        return sent.stream().filter(s -> s.server.equals(server)).count();
    }

    /** Ends a request's newest attempt after some time. */
    void endAttempt(long request, AttemptResult result, long afterUs) {
        advance(afterUs);
        SentAttempt attempt = lastAttempt(request);
        balancer.onOutcome(
                now,
                new AttemptOutcome(
                        request, attempt.attempt, result, now - attempt.atUs, result == AttemptResult.OK, null));
    }

    /** Submits a request and ends its first attempt after some time; returns its server. */
    String runRequest(int classIndex, AttemptResult result, long afterUs) {
        long id = submitRequest(classIndex);
        String server = lastAttempt(id).server;
        endAttempt(id, result, afterUs);
        return server;
    }

    /** Ends all probes by timeout. */
    void endProbes() {
        List<String> pending = new ArrayList<>(probed);
        probed.clear();
        pending.forEach(server -> balancer.onProbe(now, server, AttemptResult.TIMEOUT, 60_000, null));
    }

    /** Advances the clock and fires the timers that fall due. */
    void advance(long us) {
        long until = now + us;
        while (true) {
            long first = timers.stream().mapToLong(t -> t).min().orElse(Long.MAX_VALUE);
            if (first > until) {
                break;
            }
            timers.remove(first);
            now = Math.max(now, first);
            balancer.onTimer(now);
        }
        now = until;
    }

    @Override
    public void send(long requestId, String serverId, long untilUs) {
        sent.add(new SentAttempt(now, requestId, countAttempts(requestId), serverId, untilUs));
    }

    @Override
    public void setAttemptDeadline(long requestId, int attempt, long untilUs) {
        deadlines.add(requestId + "/" + attempt + " at " + untilUs);
    }

    @Override
    public void cancel(long requestId, int attempt) {
        cancelled.add(requestId + "/" + attempt);
    }

    @Override
    public void reject(long requestId, long retryAfterUs) {
        rejected.add(requestId);
    }

    @Override
    public void fail(long requestId) {
        failed.add(requestId);
    }

    @Override
    public void scheduleTimer(long atUs) {
        timers.add(atUs);
    }

    @Override
    public void probe(String serverId) {
        probed.add(serverId);
    }

    @Override
    public void subscribe() {
        subscriptions++;
    }

    @Override
    public void log(String line) {
        logged.add(line);
    }
}
