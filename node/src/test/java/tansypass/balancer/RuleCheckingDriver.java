package tansypass.balancer;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Runs a load balancer with random settings and a random sequence of events, both of which depend only on a seed. Fails
 * on the first action that violates a rule, and records the actions as text.
 */
final class RuleCheckingDriver implements TextLogActions {
    private static final long START_US = 5_000_000;
    private static final int SERVER_NAMES = 9;
    private static final int INITIAL_ENDPOINT_CHANGES = 5;

    private static final AttemptResult[] FAILURES = {
        AttemptResult.ERROR,
        AttemptResult.OVERLOADED,
        AttemptResult.CONNECT_FAILED,
        AttemptResult.RESET,
        AttemptResult.NOT_SENT
    };
    private static final AttemptResult[] PROBE_RESULTS = {
        AttemptResult.OK, AttemptResult.OK, AttemptResult.OVERLOADED, AttemptResult.TIMEOUT
    };

    /** A scheduled end of an attempt. */
    private record PendingOutcome(long atUs, long requestId, int attempt, AttemptResult result) {}

    /** A scheduled end of a probe. */
    private record PendingProbe(long atUs, String server) {}

    private final SplittableRandom random;
    private final BalancerSettings settings;
    private final LoadBalancer balancer;
    private final RequestRuleChecker requestRules;
    private final SlowStartLimitChecker slowStartLimit;
    private final Map<String, ServerEntry> servers = new LinkedHashMap<>();
    private final PriorityQueue<PendingOutcome> pendingOutcomes =
            new PriorityQueue<>(Comparator.comparingLong(PendingOutcome::atUs));
    private final PriorityQueue<PendingProbe> pendingProbes =
            new PriorityQueue<>(Comparator.comparingLong(PendingProbe::atUs));
    private final PriorityQueue<Long> timerDueTimesUs = new PriorityQueue<>();
    private final StringBuilder trace = new StringBuilder();
    private long nowUs = START_US;
    private long nextId = 1;

    RuleCheckingDriver(long seed) {
        random = new SplittableRandom(seed);
        settings = drawSettings(random);
        requestRules = new RequestRuleChecker(settings);
        slowStartLimit = new SlowStartLimitChecker(settings);
        balancer = new WeightedTwoChoicesLoadBalancer(settings, seed, this);
    }

    private static BalancerSettings drawSettings(SplittableRandom random) {
        BalancerSettings.Builder settings = BalancerHarness.createSettings();
        settings.classes(BalancerHarness.changeRequestClasses(c -> new RequestClass(
                c.name(),
                c.latencyObjectiveUs(),
                0,
                c.deadlineUs(),
                c.priorityWeight(),
                random.nextInt(2) * 0.5,
                c.idempotency(),
                c.deduplicationScope(),
                80_000,
                false)));
        int nodes = 1 + random.nextInt(5);
        settings.maxAttempts(1 + random.nextInt(5));
        settings.cancel(random.nextBoolean());
        settings.hedging(random.nextBoolean());
        settings.probes(random.nextBoolean());
        settings.nodes(nodes * (random.nextBoolean() ? 1 : 10));
        settings.listPolling(random.nextBoolean());
        settings.crossZonePrice(random.nextBoolean() ? 0.02 : 0);
        settings.tickUs(1_000L * (1 + random.nextInt(5)));
        settings.drainGraceUs(0);
        settings.slowStartUs(8_000_000);
        settings.slowStartCapacity(0.2);
        return settings.build();
    }

    RequestRuleChecker requestRules() {
        return requestRules;
    }

    /** Returns the load balancer's actions so far, one per line, each with its time. */
    String trace() {
        return trace.toString();
    }

    /** Fails if a server that was warming up got more requests than this node's share of its capacity allows. */
    void assertSlowStartLimit() {
        slowStartLimit.assertSendsWithinLimit(requestRules.servedCount() / ((nowUs - START_US) / 1e6));
    }

    /**
     * Runs this number of external events, and other events until each request has ended and no attempt is in flight.
     */
    void run(int externalEvents) {
        balancer.onEndpointUpdate(nowUs, UpdateKind.CACHED, List.of());
        for (int i = 0; i < INITIAL_ENDPOINT_CHANGES; i++) {
            changeEndpoints();
        }
        int remainingEvents = externalEvents;
        long nextExternalAtUs = nowUs;
        while (remainingEvents > 0 || !pendingOutcomes.isEmpty() || requestRules.hasOpenRequests()) {
            long atUs = Math.min(remainingEvents > 0 ? nextExternalAtUs : Long.MAX_VALUE, nextScheduledAtUs());
            assertTrue(atUs < Long.MAX_VALUE, "rule 1: a request has not ended, and no event is scheduled");
            nowUs = Math.max(nowUs, atUs);
            if (!runScheduledEvent()) {
                remainingEvents--;
                nextExternalAtUs = nowUs + random.nextInt(30_000);
                runExternalEvent();
            }
        }
    }

    private long nextScheduledAtUs() {
        long outcomeAtUs = pendingOutcomes.isEmpty()
                ? Long.MAX_VALUE
                : pendingOutcomes.peek().atUs();
        long probeAtUs =
                pendingProbes.isEmpty() ? Long.MAX_VALUE : pendingProbes.peek().atUs();
        long timerAtUs = timerDueTimesUs.isEmpty() ? Long.MAX_VALUE : timerDueTimesUs.peek();
        return Math.min(outcomeAtUs, Math.min(probeAtUs, timerAtUs));
    }

    /**
     * Runs one event that is due: an outcome, otherwise the end of a probe, otherwise a timer. Returns whether one was
     * due.
     */
    private boolean runScheduledEvent() {
        if (!pendingOutcomes.isEmpty() && pendingOutcomes.peek().atUs() <= nowUs) {
            endAttempt(pendingOutcomes.poll());
        } else if (!pendingProbes.isEmpty() && pendingProbes.peek().atUs() <= nowUs) {
            AttemptResult result = PROBE_RESULTS[random.nextInt(PROBE_RESULTS.length)];
            balancer.onProbe(nowUs, pendingProbes.poll().server(), result, 1_000, null);
        } else if (!timerDueTimesUs.isEmpty() && timerDueTimesUs.peek() <= nowUs) {
            timerDueTimesUs.poll();
            balancer.onTimer(nowUs);
        } else {
            return false;
        }
        return true;
    }

    private void endAttempt(PendingOutcome outcome) {
        requestRules.onAttemptEnd(outcome.requestId(), outcome.attempt(), outcome.result());
        TrackedRequest request = requestRules.request(outcome.requestId());
        long latencyUs = nowUs - request.attempts.get(outcome.attempt()).sentAtUs;
        balancer.onOutcome(
                nowUs,
                new AttemptOutcome(
                        outcome.requestId(), outcome.attempt(), outcome.result(), latencyUs, request.ended, null));
    }

    private void runExternalEvent() {
        int eventKind = random.nextInt(100);
        if (eventKind < 2) {
            changeEndpoints();
        } else if (eventKind < 3) {
            balancer.onDiscoveryFailure(nowUs);
        } else if (eventKind < 5 && nextId > 1) {
            disconnectClient(1 + random.nextLong(nextId - 1));
        } else {
            submitRequest();
        }
    }

    private void changeEndpoints() {
        List<ServerEntry> changes = drawEndpointChanges();
        if (random.nextInt(6) == 0) {
            changes.removeIf(e -> e.state() == ServerState.GONE);
            servers.replaceAll(
                    (id, e) -> new ServerEntry(id, e.zone(), e.cell(), ServerState.GONE, 1, e.startedAtUs()));
            changes.forEach(e -> servers.put(e.id(), e));
            balancer.onEndpointUpdate(nowUs, UpdateKind.SNAPSHOT, changes);
        } else {
            changes.forEach(e -> servers.put(e.id(), e));
            balancer.onEndpointUpdate(nowUs, UpdateKind.DELTA, changes);
        }
    }

    private List<ServerEntry> drawEndpointChanges() {
        List<ServerEntry> changes = new ArrayList<>();
        // The number of entries is drawn again before each entry.
        for (int i = 0; i < 1 + random.nextInt(3); i++) {
            int number = random.nextInt(SERVER_NAMES);
            ServerState state = ServerState.values()[Math.max(0, random.nextInt(5) - 2)];
            boolean restarted = state == ServerState.READY && random.nextInt(3) == 0;
            ServerEntry entry = new ServerEntry("s" + number, number % 2, number % 3, state, 1, restarted ? nowUs : 0);
            if (servers.containsKey(entry.id()) || state != ServerState.GONE) {
                changes.add(entry);
            }
        }
        return changes;
    }

    private void disconnectClient(long id) {
        requestRules.onClientDisconnect(id);
        balancer.onClientDisconnect(nowUs, id);
    }

    private void submitRequest() {
        int classIndex = random.nextInt(settings.classes().size());
        long remainingUs = random.nextInt(10) == 0 ? random.nextInt(3_000) : 20_000 + random.nextInt(900_000);
        long id = nextId++;
        requestRules.onRequest(id, settings.classes().get(classIndex), nowUs + remainingUs);
        int tenant = random.nextInt(2) - 1;
        balancer.onRequest(nowUs, new BalancerRequest(id, classIndex, tenant, remainingUs, 0, false));
    }

    @Override
    public void send(long requestId, String serverId, long timeoutAtUs) {
        record("send " + requestId + serverId);
        ServerEntry server = servers.get(serverId);
        int attempt = requestRules.onSend(nowUs, requestId, server, timeoutAtUs);
        slowStartLimit.onSend(nowUs, server, servers.values());
        pendingOutcomes.add(drawOutcome(requestId, attempt, timeoutAtUs));
    }

    private PendingOutcome drawOutcome(long requestId, int attempt, long timeoutAtUs) {
        boolean timesOut = random.nextInt(30) == 0;
        long atUs = timesOut ? timeoutAtUs : Math.min(timeoutAtUs, nowUs + 1_000 + random.nextInt(120_000));
        AttemptResult result = atUs == timeoutAtUs ? AttemptResult.TIMEOUT : drawResult();
        return new PendingOutcome(atUs, requestId, attempt, result);
    }

    private AttemptResult drawResult() {
        return random.nextInt(8) > 0 ? AttemptResult.OK : FAILURES[random.nextInt(FAILURES.length)];
    }

    @Override
    public void reject(long requestId, long retryAfterUs) {
        record("reject " + requestId);
        requestRules.onReject(nowUs, requestId);
    }

    @Override
    public void fail(long requestId) {
        record("fail " + requestId);
        requestRules.onFail(nowUs, requestId);
    }

    @Override
    public void setAttemptDeadline(long requestId, int attempt, long timeoutAtUs) {
        throw new AssertionError("deadline of an attempt set although no upload was in progress");
    }

    @Override
    public void cancel(long requestId, int attempt) {
        assertTrue(settings.cancel(), "cancelled an attempt although cancel is off");
        if (requestRules.request(requestId).attempts.get(attempt).isInFlight()) {
            pendingOutcomes.removeIf(o -> o.requestId() == requestId && o.attempt() == attempt);
            pendingOutcomes.add(new PendingOutcome(nowUs, requestId, attempt, AttemptResult.CANCELLED));
        }
    }

    @Override
    public void scheduleTimer(long atUs) {
        assertTrue(atUs > nowUs, "scheduled a timer that is already due");
        timerDueTimesUs.add(atUs);
    }

    @Override
    public void probe(String serverId) {
        assertTrue(settings.probes(), "probed a server although probes are off");
        pendingProbes.add(new PendingProbe(nowUs + 500 + random.nextInt(40_000), serverId));
    }

    @Override
    public void subscribe() {
        assertTrue(settings.listPolling(), "subscribed although listPolling is off");
    }

    @Override
    public void log(String line) {
        trace.append(line).append('\n');
    }

    private void record(String action) {
        trace.append(nowUs).append(' ').append(action).append('\n');
    }
}
