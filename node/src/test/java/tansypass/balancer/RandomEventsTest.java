package tansypass.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Random sequences of events with fixed seeds; checks all actions of the balancer against rules 1 to 4. */
class RandomEventsTest {

    /** An attempt as the checker knows it. */
    private static final class Attempt {
        ServerEntry server;
        long sentAt;
        AttemptResult result;
    }

    /** A probe and the time of its result. */
    private record PendingProbe(long atUs, String server) {}

    /** An attempt and the time and result of its outcome. */
    private record PendingOutcome(long atUs, long request, int attempt, AttemptResult result) {}

    /** An attempt sent to a server that is warming up, and the capacity of the ready servers at that time. */
    private record WarmingSend(long atUs, long readyCapacityPerMille) {}

    /** A request as the checker knows it. */
    private static final class TrackedRequest {
        RequestClass requestClass;
        long deadlineAt;
        boolean ended;
        final List<Attempt> attempts = new ArrayList<>();

        Attempt earliestPossiblyExecuted() {
            return attempts.stream()
                    .filter(a -> a.result == null || !a.result.isKnownNotExecuted())
                    .findFirst()
                    .orElse(null);
        }
    }

    /** Acts as a node and fails the test on the first violation of a rule. */
    private static final class RuleChecker implements TextLogActions {
        final SplittableRandom random;
        final BalancerSettings set;
        final LoadBalancer balancer;
        final Map<Long, TrackedRequest> requests = new LinkedHashMap<>();
        final Map<String, ServerEntry> servers = new LinkedHashMap<>();
        final Map<ServerEntry, List<WarmingSend>> warmingSends = new LinkedHashMap<>();
        final PriorityQueue<PendingOutcome> outcomes =
                new PriorityQueue<>(Comparator.comparingLong(PendingOutcome::atUs));
        final PriorityQueue<PendingProbe> probes = new PriorityQueue<>(Comparator.comparingLong(PendingProbe::atUs));
        final PriorityQueue<Long> timers = new PriorityQueue<>();
        final StringBuilder trace = new StringBuilder();
        long now = 5_000_000;
        long nextId = 1;
        long served;
        int finals;

        RuleChecker(long seed) {
            random = new SplittableRandom(seed);
            set = randomSettings(random);
            balancer = new WeightedTwoChoicesLoadBalancer(set, seed, this);
        }

        private static BalancerSettings randomSettings(SplittableRandom random) {
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

        @Override
        public void send(long requestId, String serverId, long untilUs) {
            trace.append(now)
                    .append(" send ")
                    .append(requestId)
                    .append(serverId)
                    .append('\n');
            TrackedRequest request = requests.get(requestId);
            ServerEntry server = servers.get(serverId);
            assertNotNull(request, "an unknown request");
            assertFalse(request.ended, "rule 1: sent after the final outcome");
            assertTrue(untilUs <= request.deadlineAt, "rule 1: attempt deadline after the request deadline");
            assertTrue(now < request.deadlineAt, "rule 1: sent after the request deadline");
            assertTrue(request.attempts.size() < set.maxAttempts());
            Attempt possiblyExecuted = request.earliestPossiblyExecuted();
            if (possiblyExecuted != null) {
                assertTrue(
                        request.requestClass.idempotency() != Idempotency.NON_IDEMPOTENT,
                        "rule 2: a non-idempotent request was possibly executed");
                if (request.requestClass.idempotency() == Idempotency.KEYED) {
                    assertTrue(
                            now <= possiblyExecuted.sentAt + request.requestClass.deduplicationWindowUs(),
                            "rule 2: after the deduplication window");
                    assertTrue(
                            isSameScope(request.requestClass.deduplicationScope(), possiblyExecuted.server, server),
                            "rule 2: outside the deduplication scope");
                }
                assertTrue(set.hedging() || request.attempts.stream().allMatch(a -> a.result != null));
            }
            assertTrue(server.state() == ServerState.READY, "rule 3: sent to a draining or removed server");
            if (server.startedAtUs() > 0 && now < server.startedAtUs() + set.slowStartUs()) {
                warmingSends
                        .computeIfAbsent(server, k -> new ArrayList<>())
                        .add(new WarmingSend(now, readyCapacityPerMille()));
            }
            Attempt attempt = new Attempt();
            attempt.server = server;
            attempt.sentAt = now;
            request.attempts.add(attempt);
            boolean timesOut = random.nextInt(30) == 0;
            long at = timesOut ? untilUs : Math.min(untilUs, now + 1_000 + random.nextInt(120_000));
            outcomes.add(new PendingOutcome(
                    at,
                    requestId,
                    request.attempts.size() - 1,
                    timesOut || at == untilUs ? AttemptResult.TIMEOUT : drawResult()));
        }

        private AttemptResult drawResult() {
            AttemptResult[] failures = {
                AttemptResult.ERROR,
                AttemptResult.OVERLOADED,
                AttemptResult.CONNECT_FAILED,
                AttemptResult.RESET,
                AttemptResult.NOT_SENT
            };
            return random.nextInt(8) > 0 ? AttemptResult.OK : failures[random.nextInt(failures.length)];
        }

        private static boolean isSameScope(DeduplicationScope scope, ServerEntry a, ServerEntry b) {
            return scope == DeduplicationScope.ALL
                    || (scope == DeduplicationScope.ZONE ? a.zone() == b.zone() : a.cell() == b.cell());
        }

        private void finish(long id, boolean rejection) {
            trace.append(now)
                    .append(rejection ? " reject " : " fail ")
                    .append(id)
                    .append('\n');
            TrackedRequest request = requests.get(id);
            assertNotNull(request);
            assertFalse(request.ended, "rule 1: a second final outcome");
            assertTrue(now <= request.deadlineAt + set.tickUs(), "rule 1: the final outcome is late");
            if (rejection && request.earliestPossiblyExecuted() != null) {
                assertTrue(
                        request.requestClass.idempotency() == Idempotency.IDEMPOTENT
                                || (request.requestClass.idempotency() == Idempotency.KEYED
                                        && request.requestClass.deduplicationScope() == DeduplicationScope.ALL),
                        "rule 2: rejected although a client retry is not safe");
            }
            request.ended = true;
            finals++;
        }

        @Override
        public void reject(long requestId, long retryAfterUs) {
            finish(requestId, true);
        }

        @Override
        public void fail(long requestId) {
            finish(requestId, false);
        }

        @Override
        public void setAttemptDeadline(long requestId, int attempt, long untilUs) {
            throw new AssertionError("no upload was in progress");
        }

        @Override
        public void cancel(long requestId, int attempt) {
            assertTrue(set.cancel());
            Attempt cancelled = requests.get(requestId).attempts.get(attempt);
            if (cancelled.result == null) {
                outcomes.removeIf(o -> o.request() == requestId && o.attempt() == attempt);
                outcomes.add(new PendingOutcome(now, requestId, attempt, AttemptResult.CANCELLED));
            }
        }

        @Override
        public void scheduleTimer(long atUs) {
            assertTrue(atUs > now);
            timers.add(atUs);
        }

        @Override
        public void probe(String serverId) {
            assertTrue(set.probes());
            probes.add(new PendingProbe(now + 500 + random.nextInt(40_000), serverId));
        }

        @Override
        public void subscribe() {
            assertTrue(set.listPolling());
        }

        @Override
        public void log(String line) {
            trace.append(line).append('\n');
        }

        void submitRequest() {
            TrackedRequest request = new TrackedRequest();
            int classIndex = random.nextInt(set.classes().size());
            request.requestClass = set.classes().get(classIndex);
            long left = random.nextInt(10) == 0 ? random.nextInt(3_000) : 20_000 + random.nextInt(900_000);
            request.deadlineAt = now + left;
            long id = nextId++;
            requests.put(id, request);
            balancer.onRequest(now, new BalancerRequest(id, classIndex, random.nextInt(2) - 1, left, 0, false));
        }

        void changeEndpoints() {
            List<ServerEntry> changes = new ArrayList<>();
            for (int i = 0; i < 1 + random.nextInt(3); i++) {
                int number = random.nextInt(9);
                ServerState state = ServerState.values()[Math.max(0, random.nextInt(5) - 2)];
                ServerEntry entry = new ServerEntry(
                        "s" + number,
                        number % 2,
                        number % 3,
                        state,
                        1,
                        state == ServerState.READY && random.nextInt(3) == 0 ? now : 0);
                if (servers.containsKey(entry.id()) || state != ServerState.GONE) {
                    changes.add(entry);
                }
            }
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

        void completeAttempt(PendingOutcome outcome) {
            TrackedRequest request = requests.get(outcome.request());
            Attempt attempt = request.attempts.get(outcome.attempt());
            attempt.result = outcome.result();
            if (attempt.result == AttemptResult.OK && !request.ended) {
                request.ended = true;
                finals++;
                served++;
            }
            balancer.onOutcome(
                    now,
                    new AttemptOutcome(
                            outcome.request(),
                            outcome.attempt(),
                            attempt.result,
                            now - attempt.sentAt,
                            request.ended,
                            null));
        }

        void run(int events) {
            balancer.onEndpointUpdate(now, UpdateKind.CACHED, List.of());
            for (int i = 0; i < 5; i++) {
                changeEndpoints();
            }
            long nextEvent = now;
            for (int done = 0; done < events || !outcomes.isEmpty() || countOpenRequests() > 0; ) {
                long at = done < events ? nextEvent : Long.MAX_VALUE;
                at = Math.min(
                        at,
                        outcomes.isEmpty() ? Long.MAX_VALUE : outcomes.peek().atUs());
                at = Math.min(
                        at, probes.isEmpty() ? Long.MAX_VALUE : probes.peek().atUs());
                at = Math.min(at, timers.isEmpty() ? Long.MAX_VALUE : timers.peek());
                assertTrue(at < Long.MAX_VALUE, "rule 1: requests are open without a timer");
                now = Math.max(now, at);
                if (!outcomes.isEmpty() && outcomes.peek().atUs() <= now) {
                    completeAttempt(outcomes.poll());
                } else if (!probes.isEmpty() && probes.peek().atUs() <= now) {
                    AttemptResult[] results = {
                        AttemptResult.OK, AttemptResult.OK, AttemptResult.OVERLOADED, AttemptResult.TIMEOUT
                    };
                    balancer.onProbe(now, probes.poll().server(), results[random.nextInt(4)], 1_000, null);
                } else if (!timers.isEmpty() && timers.peek() <= now) {
                    timers.poll();
                    balancer.onTimer(now);
                } else {
                    done++;
                    nextEvent = now + random.nextInt(30_000);
                    runExternalEvent();
                }
            }
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

        /** Returns the least capacity of the ready servers, in thousandths of a warm one. */
        private long readyCapacityPerMille() {
            return servers.values().stream()
                    .filter(e -> e.state() == ServerState.READY)
                    .mapToLong(e -> Math.round(1e3
                            * (e.startedAtUs() == 0
                                    ? 1
                                    : Math.min(
                                            1,
                                            set.slowStartCapacity()
                                                    + (1 - set.slowStartCapacity())
                                                            * (now - e.startedAtUs())
                                                            / set.slowStartUs()))))
                    .sum();
        }

        private long countOpenRequests() {
            return requests.values().stream().filter(r -> !r.ended).count();
        }

        private void disconnectClient(long id) {
            TrackedRequest request = requests.get(id);
            if (!request.ended) {
                request.ended = true;
                finals++;
            }
            balancer.onClientDisconnect(now, id);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
    void rulesHoldOverRandomEvents(long seed) {
        RuleChecker checker = new RuleChecker(seed);
        checker.run(1_500);
        assertEquals(checker.requests.size(), checker.finals, "rule 1: one final outcome per request");
        assertTrue(checker.served > 100, "too few requests were served: " + checker.served);
        // Rule 4: in any window this node stays below its part of the permitted multiple of the capacity of a
        // server that is warming up. Its part of a warm server's capacity is its throughput over the capacity
        // of the ready servers (three at most: many are always removed); two more requests may be by chance.
        double rate = checker.served / ((checker.now - 5_000_000) / 1e6);
        BalancerSettings set = checker.set;
        checker.warmingSends.forEach((start, sends) -> {
            for (WarmingSend first : sends) {
                List<WarmingSend> window = sends.stream()
                        .filter(s -> s.atUs() >= first.atUs() && s.atUs() < first.atUs() + set.overloadWindowUs())
                        .toList();
                double capacity = Math.min(
                        3,
                        window.stream()
                                        .mapToLong(WarmingSend::readyCapacityPerMille)
                                        .min()
                                        .getAsLong()
                                / 1e3);
                double age = Math.min(
                        1, (first.atUs() + set.overloadWindowUs() - start.startedAtUs()) / (double) set.slowStartUs());
                double share = set.slowStartCapacity() + (1 - set.slowStartCapacity()) * age;
                assertTrue(
                        window.size() - 2
                                <= set.overloadMultiple() * share * rate / capacity * set.overloadWindowUs() / 1e6,
                        "rule 4: " + window.size() + " sends in one window");
            }
        });
    }

    @ParameterizedTest
    @ValueSource(longs = {21, 22})
    void sameEventsAndSeedGiveSameActions(long seed) {
        RuleChecker one = new RuleChecker(seed);
        RuleChecker two = new RuleChecker(seed);
        one.run(800);
        two.run(800);
        assertEquals(one.trace.toString(), two.trace.toString());
    }
}
