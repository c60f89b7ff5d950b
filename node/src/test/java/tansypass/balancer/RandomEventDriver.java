package tansypass.balancer;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/** Drives a balancer with a seeded random sequence of events and records every action it takes as text. */
final class RandomEventDriver implements TextLogActions {
    private static final int SERVERS = 9;
    private static final long PHASE_US = 2_000_000;
    /** Time after the last external event in which attempts in flight end. */
    private static final long DRAIN_US = 3_000_000;

    private static final AttemptResult[] FAILURES = {
        AttemptResult.ERROR, AttemptResult.OVERLOADED, AttemptResult.CONNECT_FAILED, AttemptResult.RESET
    };

    /** An event scheduled by the driver; events due at the same time run in the order they were scheduled. */
    private record ScheduledEvent(long atUs, long order, Runnable event) {}

    /** An attempt in flight. */
    private static final class Attempt {
        long sentAtUs;
        boolean ended;
        boolean uploading;
        String server;
    }

    private final BalancerSettings settings;
    private final SplittableRandom random;
    private final long meanGapUs;
    private final double uploadShare;
    private final LoadBalancer balancer;
    private final StringBuilder trace = new StringBuilder();
    private final PriorityQueue<ScheduledEvent> scheduled = new PriorityQueue<>(
            Comparator.comparingLong(ScheduledEvent::atUs).thenComparingLong(ScheduledEvent::order));
    private final Map<Long, List<Attempt>> requests = new LinkedHashMap<>();
    private final Map<Long, Boolean> uploading = new LinkedHashMap<>();
    private final List<ServerEntry> servers = new ArrayList<>();
    private long now = 5_000_000;
    private long endUs = Long.MAX_VALUE;
    private long order;
    private long nextId = 1;

    RandomEventDriver(BalancerSettings settings, long seed, long meanGapUs, double uploadShare) {
        this.settings = settings;
        this.meanGapUs = meanGapUs;
        this.uploadShare = uploadShare;
        random = new SplittableRandom(seed);
        balancer = new WeightedTwoChoicesLoadBalancer(settings, seed, this);
    }

    /** Runs this many external events and all events that follow from them; returns the trace. */
    String run(int events) {
        for (int i = 0; i < SERVERS; i++) {
            servers.add(
                    new ServerEntry("s" + i, i % 2, i % 3, ServerState.READY, 1 + i % 3, i < 7 ? 0 : now - 1_000_000));
        }
        balancer.onEndpointUpdate(now, UpdateKind.CACHED, servers);
        scheduleExternalEvents(events);
        while (!scheduled.isEmpty() && now < endUs) {
            ScheduledEvent next = scheduled.poll();
            now = Math.max(now, next.atUs);
            next.event.run();
        }
        return trace.toString();
    }

    private void scheduleAfter(long us, Runnable event) {
        scheduled.add(new ScheduledEvent(now + us, order++, event));
    }

    private void scheduleExternalEvents(int left) {
        if (left > 0) {
            // One phase in three is an overload, one is calm.
            long[] gaps = {meanGapUs, meanGapUs / 4, meanGapUs * 2};
            scheduleAfter(random.nextLong(2 * gaps[phase()] + 1), () -> {
                runExternalEvent();
                scheduleExternalEvents(left - 1);
            });
        } else {
            endUs = now + DRAIN_US;
        }
    }

    private int phase() {
        return (int) (now / PHASE_US % 3);
    }

    private void runExternalEvent() {
        int kind = random.nextInt(1_000);
        if (kind < 6) {
            changeEndpoints();
        } else if (kind < 9) {
            balancer.onDiscoveryFailure(now);
        } else if (kind < 12) {
            balancer.onClusterSize(now, random.nextInt(2 * settings.nodes() + 1), random.nextInt(3));
        } else if (kind < 30 && nextId > 1) {
            balancer.onClientDisconnect(now, 1 + random.nextLong(nextId - 1));
        } else if (kind < 40 && nextId > 1) {
            balancer.onBodyNotReplayable(now, 1 + random.nextLong(nextId - 1));
        } else {
            startRequest();
        }
        if (kind % 50 == 0) {
            record("servers " + balancer.serverCount() + " excluded " + balancer.excludedServerCount());
        }
    }

    private void changeEndpoints() {
        int index = random.nextInt(SERVERS);
        ServerEntry old = servers.get(index);
        ServerState state = ServerState.values()[Math.max(0, random.nextInt(6) - 3)];
        boolean restarted = state == ServerState.READY && random.nextInt(2) == 0;
        ServerEntry entry = new ServerEntry(
                old.id(), old.zone(), old.cell(), state, old.weight(), restarted ? now : old.startedAtUs());
        servers.set(index, entry);
        if (random.nextInt(4) > 0) {
            balancer.onEndpointUpdate(now, UpdateKind.DELTA, List.of(entry));
        } else {
            servers.replaceAll(s -> s.state() == ServerState.READY
                    ? s
                    : new ServerEntry(s.id(), s.zone(), s.cell(), ServerState.READY, s.weight(), s.startedAtUs()));
            balancer.onEndpointUpdate(now, UpdateKind.SNAPSHOT, servers);
        }
    }

    private void startRequest() {
        long id = nextId++;
        int classIndex = random.nextInt(settings.classes().size());
        long deadlineUs = settings.classes().get(classIndex).deadlineUs();
        boolean retry = random.nextInt(5) == 0;
        long leftUs = retry ? random.nextLong(deadlineUs) : deadlineUs - random.nextLong(2_000);
        BalancerRequest request = new BalancerRequest(
                id,
                classIndex,
                random.nextInt(settings.tenants().size() + 1) - 1,
                leftUs,
                random.nextInt(9_000),
                retry);
        requests.put(id, new ArrayList<>());
        if (random.nextDouble() < uploadShare) {
            uploading.put(id, true);
            scheduleAfter(random.nextInt(600_000), () -> completeUpload(id));
            balancer.onUploadStarted(now, request);
        } else {
            balancer.onRequest(now, request);
        }
    }

    private void completeUpload(long id) {
        uploading.remove(id);
        for (int i = 0; i < requests.get(id).size(); i++) {
            if (!requests.get(id).get(i).ended) {
                scheduleOutcome(id, i, Long.MAX_VALUE);
            }
        }
        balancer.onUploadCompleted(now, id);
    }

    private void scheduleOutcome(long id, int number, long untilUs) {
        String server = requests.get(id).get(number).server;
        int index = server.charAt(1) - '0';
        // The faults rotate over the servers: one fails, one is slow, one hangs.
        int role = (int) ((index + now / PHASE_US) % SERVERS);
        long latencyUs = (5_000L + random.nextInt(30_000)) * (role == 1 ? 12 : 1);
        latencyUs *= phase() == 1 ? 1 + random.nextInt(4) : 1;
        AttemptResult result = random.nextInt(role == 0 ? 2 : 40) == 0
                ? FAILURES[random.nextInt(FAILURES.length)]
                : role == 2 && random.nextInt(3) == 0 ? AttemptResult.TIMEOUT : AttemptResult.OK;
        long end = result == AttemptResult.TIMEOUT ? now + 900_000 : now + latencyUs;
        if (end >= untilUs) {
            result = AttemptResult.TIMEOUT;
        }
        if (result == AttemptResult.OK && random.nextInt(12) == 0) {
            scheduleAfter((Math.min(end, untilUs) - now) / 2, () -> balancer.onResponseStarted(now, id, number));
            result = random.nextInt(4) == 0 ? AttemptResult.RESET : AttemptResult.OK;
        }
        AttemptResult ending = result;
        scheduleAfter(Math.min(end, untilUs) - now, () -> endAttempt(id, number, ending));
    }

    private void endAttempt(long id, int number, AttemptResult result) {
        Attempt attempt = requests.get(id).get(number);
        if (!attempt.ended) {
            attempt.ended = true;
            balancer.onOutcome(
                    now,
                    new AttemptOutcome(id, number, result, now - attempt.sentAtUs, result == AttemptResult.OK, null));
        }
    }

    private void record(String action) {
        trace.append(now).append(' ').append(action).append('\n');
    }

    @Override
    public void send(long requestId, String serverId, long untilUs) {
        record("send " + requestId + " " + serverId + " " + untilUs);
        Attempt attempt = new Attempt();
        attempt.sentAtUs = now;
        attempt.server = serverId;
        attempt.uploading = uploading.containsKey(requestId);
        requests.get(requestId).add(attempt);
        if (!attempt.uploading) {
            scheduleOutcome(requestId, requests.get(requestId).size() - 1, untilUs);
        } else if (random.nextInt(4) == 0) {
            int number = requests.get(requestId).size() - 1;
            scheduleAfter(random.nextInt(50_000), () -> endAttempt(requestId, number, AttemptResult.RESET));
        }
    }

    @Override
    public void setAttemptDeadline(long requestId, int attempt, long untilUs) {
        record("deadline " + requestId + " " + attempt + " " + untilUs);
    }

    @Override
    public void cancel(long requestId, int attempt) {
        record("cancel " + requestId + " " + attempt);
        scheduleAfter(0, () -> endAttempt(requestId, attempt, AttemptResult.CANCELLED));
    }

    @Override
    public void reject(long requestId, long retryAfterUs) {
        record("reject " + requestId + " " + retryAfterUs);
    }

    @Override
    public void fail(long requestId) {
        record("fail " + requestId);
    }

    @Override
    public void scheduleTimer(long atUs) {
        record("timer " + atUs);
        scheduled.add(new ScheduledEvent(atUs, order++, () -> balancer.onTimer(now)));
    }

    @Override
    public void probe(String serverId) {
        record("probe " + serverId);
        long tookUs = 500L + random.nextInt(12_000);
        AttemptResult result = random.nextInt(6) == 0 ? AttemptResult.TIMEOUT : AttemptResult.OK;
        scheduleAfter(tookUs, () -> balancer.onProbe(now, serverId, result, tookUs, null));
    }

    @Override
    public void subscribe() {
        record("subscribe");
    }

    @Override
    public void log(String line) {
        record("log " + line);
    }

    /** Returns the SHA-256 of a text as hexadecimal digits. */
    static String sha256(String text) throws NoSuchAlgorithmException {
        byte[] digest = MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
        return HexFormat.of().formatHex(digest);
    }
}
