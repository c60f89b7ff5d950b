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
 * Drives a balancer with random settings and a random sequence of events, both drawn from a seed. Fails on the first
 * action that violates a rule, and records the actions as text.
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

    /** The end of an attempt, to come. */
    private record PendingOutcome(long atUs, long requestId, int attempt, AttemptResult result) {}

    /** The end of a probe, to come. */
    private record PendingProbe(long atUs, String server) {}

    private final SplittableRandom random;
    private final BalancerSettings settings;
    private final LoadBalancer balancer;
    private final RequestRuleChecker requestRules;
    private final SlowStartLimitChecker slowStartLimit;
    private final Map<String, ServerEntry> servers = new LinkedHashMap<>();
    private final PriorityQueue<PendingOutcome> outcomes =
            new PriorityQueue<>(Comparator.comparingLong(PendingOutcome::atUs));
    private final PriorityQueue<PendingProbe> probes =
            new PriorityQueue<>(Comparator.comparingLong(PendingProbe::atUs));
    private final PriorityQueue<Long> timers = new PriorityQueue<>();
    private final StringBuilder trace = new StringBuilder();
    private long now = START_US;
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

    /** Returns the actions of the balancer so far, one per line, each with its time. */
    String trace() {
        return trace.toString();
    }

    /** Fails if a server that was warming up got more than this node's part of its capacity. */
    void assertSlowStartLimit() {
        slowStartLimit.assertSendsWithinLimit(requestRules.servedCount() / ((now - START_US) / 1e6));
    }

    /** Runs this many external events, and all others until each request has ended and no attempt is in flight. */
    void run(int externalEvents) {
        balancer.onEndpointUpdate(now, UpdateKind.CACHED, List.of());
        for (int i = 0; i < INITIAL_ENDPOINT_CHANGES; i++) {
            changeEndpoints();
        }
        int left = externalEvents;
        long externalAtUs = now;
        while (left > 0 || !outcomes.isEmpty() || requestRules.hasOpenRequests()) {
            long atUs = Math.min(left > 0 ? externalAtUs : Long.MAX_VALUE, nextScheduledAt());
            assertTrue(atUs < Long.MAX_VALUE, "rule 1: requests are open without a timer");
            now = Math.max(now, atUs);
            if (!runScheduledEvent()) {
                left--;
                externalAtUs = now + random.nextInt(30_000);
                runExternalEvent();
            }
        }
    }

    private long nextScheduledAt() {
        long outcomeAtUs = outcomes.isEmpty() ? Long.MAX_VALUE : outcomes.peek().atUs();
        long probeAtUs = probes.isEmpty() ? Long.MAX_VALUE : probes.peek().atUs();
        long timerAtUs = timers.isEmpty() ? Long.MAX_VALUE : timers.peek();
        return Math.min(outcomeAtUs, Math.min(probeAtUs, timerAtUs));
    }

    /** Runs one event that is due: an outcome, else the end of a probe, else a timer; returns whether there was one. */
    private boolean runScheduledEvent() {
        if (!outcomes.isEmpty() && outcomes.peek().atUs() <= now) {
            endAttempt(outcomes.poll());
        } else if (!probes.isEmpty() && probes.peek().atUs() <= now) {
            AttemptResult result = PROBE_RESULTS[random.nextInt(PROBE_RESULTS.length)];
            balancer.onProbe(now, probes.poll().server(), result, 1_000, null);
        } else if (!timers.isEmpty() && timers.peek() <= now) {
            timers.poll();
            balancer.onTimer(now);
        } else {
            return false;
        }
        return true;
    }

    private void endAttempt(PendingOutcome outcome) {
        requestRules.onAttemptEnd(outcome.requestId(), outcome.attempt(), outcome.result());
        TrackedRequest request = requestRules.request(outcome.requestId());
        long latencyUs = now - request.attempts.get(outcome.attempt()).sentAtUs;
        balancer.onOutcome(
                now,
                new AttemptOutcome(
                        outcome.requestId(), outcome.attempt(), outcome.result(), latencyUs, request.ended, null));
    }

    private void runExternalEvent() {
        int kind = random.nextInt(100);
        if (kind < 2) {
            changeEndpoints();
        } else if (kind < 3) {
            balancer.onDiscoveryFailure(now);
        } else if (kind < 5 && nextId > 1) {
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
            balancer.onEndpointUpdate(now, UpdateKind.SNAPSHOT, changes);
        } else {
            changes.forEach(e -> servers.put(e.id(), e));
            balancer.onEndpointUpdate(now, UpdateKind.DELTA, changes);
        }
    }

    private List<ServerEntry> drawEndpointChanges() {
        List<ServerEntry> changes = new ArrayList<>();
        // The limit is drawn again before each entry.
        for (int i = 0; i < 1 + random.nextInt(3); i++) {
            int number = random.nextInt(SERVER_NAMES);
            ServerState state = ServerState.values()[Math.max(0, random.nextInt(5) - 2)];
            boolean started = state == ServerState.READY && random.nextInt(3) == 0;
            ServerEntry entry = new ServerEntry("s" + number, number % 2, number % 3, state, 1, started ? now : 0);
            if (servers.containsKey(entry.id()) || state != ServerState.GONE) {
                changes.add(entry);
            }
        }
        return changes;
    }

    private void disconnectClient(long id) {
        requestRules.onClientDisconnect(id);
        balancer.onClientDisconnect(now, id);
    }

    private void submitRequest() {
        int classIndex = random.nextInt(settings.classes().size());
        long remainingUs = random.nextInt(10) == 0 ? random.nextInt(3_000) : 20_000 + random.nextInt(900_000);
        long id = nextId++;
        requestRules.onRequest(id, settings.classes().get(classIndex), now + remainingUs);
        int tenant = random.nextInt(2) - 1;
        balancer.onRequest(now, new BalancerRequest(id, classIndex, tenant, remainingUs, 0, false));
    }

    @Override
    public void send(long requestId, String serverId, long untilUs) {
        record("send " + requestId + serverId);
        ServerEntry server = servers.get(serverId);
        int attempt = requestRules.onSend(now, requestId, server, untilUs);
        slowStartLimit.onSend(now, server, servers.values());
        outcomes.add(drawOutcome(requestId, attempt, untilUs));
    }

    private PendingOutcome drawOutcome(long requestId, int attempt, long untilUs) {
        boolean timesOut = random.nextInt(30) == 0;
        long atUs = timesOut ? untilUs : Math.min(untilUs, now + 1_000 + random.nextInt(120_000));
        AttemptResult result = atUs == untilUs ? AttemptResult.TIMEOUT : drawResult();
        return new PendingOutcome(atUs, requestId, attempt, result);
    }

    private AttemptResult drawResult() {
        return random.nextInt(8) > 0 ? AttemptResult.OK : FAILURES[random.nextInt(FAILURES.length)];
    }

    @Override
    public void reject(long requestId, long retryAfterUs) {
        record("reject " + requestId);
        requestRules.onReject(now, requestId);
    }

    @Override
    public void fail(long requestId) {
        record("fail " + requestId);
        requestRules.onFail(now, requestId);
    }

    @Override
    public void setAttemptDeadline(long requestId, int attempt, long untilUs) {
        throw new AssertionError("no upload was in progress");
    }

    @Override
    public void cancel(long requestId, int attempt) {
        assertTrue(settings.cancel(), "cancelled without permission");
        if (requestRules.request(requestId).attempts.get(attempt).isInFlight()) {
            outcomes.removeIf(o -> o.requestId() == requestId && o.attempt() == attempt);
            outcomes.add(new PendingOutcome(now, requestId, attempt, AttemptResult.CANCELLED));
        }
    }

    @Override
    public void scheduleTimer(long atUs) {
        assertTrue(atUs > now, "a timer that is due at once");
        timers.add(atUs);
    }

    @Override
    public void probe(String serverId) {
        assertTrue(settings.probes(), "probed without permission");
        probes.add(new PendingProbe(now + 500 + random.nextInt(40_000), serverId));
    }

    @Override
    public void subscribe() {
        assertTrue(settings.listPolling(), "subscribed to a list that is not polled");
    }

    @Override
    public void log(String line) {
        trace.append(line).append('\n');
    }

    private void record(String action) {
        trace.append(now).append(' ').append(action).append('\n');
    }
}
