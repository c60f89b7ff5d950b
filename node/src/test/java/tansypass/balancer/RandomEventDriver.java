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

/** Runs a load balancer with a seeded random sequence of events, and records every action that it calls as text. */
final class RandomEventDriver implements TextLogActions {
    private static final int SERVERS = 9;
    private static final long PHASE_US = 2_000_000;
    /** Time after the last external event for attempts in flight to end. */
    private static final long DRAIN_US = 3_000_000;

    private static final AttemptResult[] FAILURES = {
        AttemptResult.ERROR, AttemptResult.OVERLOADED, AttemptResult.CONNECT_FAILED, AttemptResult.RESET
    };

    /** A scheduled event. Events that are due at the same time run in the order in which they were scheduled. */
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
    private final long meanIntervalUs;
    private final double uploadShare;
    private final LoadBalancer balancer;
    private final StringBuilder trace = new StringBuilder();
    private final PriorityQueue<ScheduledEvent> scheduledEvents = new PriorityQueue<>(
            Comparator.comparingLong(ScheduledEvent::atUs).thenComparingLong(ScheduledEvent::order));
    private final Map<Long, List<Attempt>> attemptsByRequest = new LinkedHashMap<>();
    private final Map<Long, Boolean> uploadingRequests = new LinkedHashMap<>();
    private final List<ServerEntry> servers = new ArrayList<>();
    private long nowUs = 5_000_000;
    private long endUs = Long.MAX_VALUE;
    private long nextOrder;
    private long nextId = 1;

    RandomEventDriver(BalancerSettings settings, long seed, long meanIntervalUs, double uploadShare) {
        this.settings = settings;
        this.meanIntervalUs = meanIntervalUs;
        this.uploadShare = uploadShare;
        random = new SplittableRandom(seed);
        balancer = new WeightedTwoChoicesLoadBalancer(settings, seed, this);
    }

    /** Runs this number of external events, and the events that follow from them. Returns the trace. */
    String run(int events) {
        for (int i = 0; i < SERVERS; i++) {
            servers.add(new ServerEntry(
                    "s" + i, i % 2, i % 3, ServerState.READY, 1 + i % 3, i < 7 ? 0 : nowUs - 1_000_000));
        }
        balancer.onEndpointUpdate(nowUs, UpdateKind.CACHED, servers);
        scheduleExternalEvents(events);
        while (!scheduledEvents.isEmpty() && nowUs < endUs) {
            ScheduledEvent next = scheduledEvents.poll();
            nowUs = Math.max(nowUs, next.atUs);
            next.event.run();
        }
        return trace.toString();
    }

    private void scheduleAfter(long delayUs, Runnable event) {
        scheduledEvents.add(new ScheduledEvent(nowUs + delayUs, nextOrder++, event));
    }

    private void scheduleExternalEvents(int remainingEvents) {
        if (remainingEvents > 0) {
            // In each cycle of three phases, the second is an overload and the third has few requests.
            long[] meanIntervalsUs = {meanIntervalUs, meanIntervalUs / 4, meanIntervalUs * 2};
            scheduleAfter(random.nextLong(2 * meanIntervalsUs[phase()] + 1), () -> {
                runExternalEvent();
                scheduleExternalEvents(remainingEvents - 1);
            });
        } else {
            endUs = nowUs + DRAIN_US;
        }
    }

    private int phase() {
        return (int) (nowUs / PHASE_US % 3);
    }

    private void runExternalEvent() {
        int eventKind = random.nextInt(1_000);
        if (eventKind < 6) {
            changeEndpoints();
        } else if (eventKind < 9) {
            balancer.onDiscoveryFailure(nowUs);
        } else if (eventKind < 12) {
            balancer.onClusterSize(nowUs, random.nextInt(2 * settings.nodes() + 1), random.nextInt(3));
        } else if (eventKind < 30 && nextId > 1) {
            balancer.onClientDisconnect(nowUs, 1 + random.nextLong(nextId - 1));
        } else if (eventKind < 40 && nextId > 1) {
            balancer.onBodyNotReplayable(nowUs, 1 + random.nextLong(nextId - 1));
        } else {
            startRequest();
        }
        if (eventKind % 50 == 0) {
            record("servers " + balancer.serverCount() + " excluded " + balancer.excludedServerCount());
        }
    }

    private void changeEndpoints() {
        int index = random.nextInt(SERVERS);
        ServerEntry previous = servers.get(index);
        ServerState state = ServerState.values()[Math.max(0, random.nextInt(6) - 3)];
        boolean restarted = state == ServerState.READY && random.nextInt(2) == 0;
        ServerEntry entry = new ServerEntry(
                previous.id(),
                previous.zone(),
                previous.cell(),
                state,
                previous.weight(),
                restarted ? nowUs : previous.startedAtUs());
        servers.set(index, entry);
        if (random.nextInt(4) > 0) {
            balancer.onEndpointUpdate(nowUs, UpdateKind.DELTA, List.of(entry));
        } else {
            servers.replaceAll(s -> s.state() == ServerState.READY
                    ? s
                    : new ServerEntry(s.id(), s.zone(), s.cell(), ServerState.READY, s.weight(), s.startedAtUs()));
            balancer.onEndpointUpdate(nowUs, UpdateKind.SNAPSHOT, servers);
        }
    }

    private void startRequest() {
        long id = nextId++;
        int classIndex = random.nextInt(settings.classes().size());
        long deadlineUs = settings.classes().get(classIndex).deadlineUs();
        boolean retry = random.nextInt(5) == 0;
        long remainingUs = retry ? random.nextLong(deadlineUs) : deadlineUs - random.nextLong(2_000);
        BalancerRequest request = new BalancerRequest(
                id,
                classIndex,
                random.nextInt(settings.tenants().size() + 1) - 1,
                remainingUs,
                random.nextInt(9_000),
                retry);
        attemptsByRequest.put(id, new ArrayList<>());
        if (random.nextDouble() < uploadShare) {
            uploadingRequests.put(id, true);
            scheduleAfter(random.nextInt(600_000), () -> completeUpload(id));
            balancer.onUploadStarted(nowUs, request);
        } else {
            balancer.onRequest(nowUs, request);
        }
    }

    private void completeUpload(long id) {
        uploadingRequests.remove(id);
        for (int i = 0; i < attemptsByRequest.get(id).size(); i++) {
            if (!attemptsByRequest.get(id).get(i).ended) {
                scheduleOutcome(id, i, Long.MAX_VALUE);
            }
        }
        balancer.onUploadCompleted(nowUs, id);
    }

    private void scheduleOutcome(long id, int number, long timeoutAtUs) {
        String server = attemptsByRequest.get(id).get(number).server;
        int index = server.charAt(1) - '0';
        // The faults rotate over the servers: at any time one server fails, one is slow and one hangs.
        int role = (int) ((index + nowUs / PHASE_US) % SERVERS);
        long latencyUs = (5_000L + random.nextInt(30_000)) * (role == 1 ? 12 : 1);
        latencyUs *= phase() == 1 ? 1 + random.nextInt(4) : 1;
        AttemptResult result = random.nextInt(role == 0 ? 2 : 40) == 0
                ? FAILURES[random.nextInt(FAILURES.length)]
                : role == 2 && random.nextInt(3) == 0 ? AttemptResult.TIMEOUT : AttemptResult.OK;
        long endsAtUs = result == AttemptResult.TIMEOUT ? nowUs + 900_000 : nowUs + latencyUs;
        if (endsAtUs >= timeoutAtUs) {
            result = AttemptResult.TIMEOUT;
        }
        if (result == AttemptResult.OK && random.nextInt(12) == 0) {
            scheduleAfter(
                    (Math.min(endsAtUs, timeoutAtUs) - nowUs) / 2, () -> balancer.onResponseStarted(nowUs, id, number));
            result = random.nextInt(4) == 0 ? AttemptResult.RESET : AttemptResult.OK;
        }
        AttemptResult finalResult = result;
        scheduleAfter(Math.min(endsAtUs, timeoutAtUs) - nowUs, () -> endAttempt(id, number, finalResult));
    }

    private void endAttempt(long id, int number, AttemptResult result) {
        Attempt attempt = attemptsByRequest.get(id).get(number);
        if (!attempt.ended) {
            attempt.ended = true;
            balancer.onOutcome(
                    nowUs,
                    new AttemptOutcome(id, number, result, nowUs - attempt.sentAtUs, result == AttemptResult.OK, null));
        }
    }

    private void record(String action) {
        trace.append(nowUs).append(' ').append(action).append('\n');
    }

    @Override
    public void send(long requestId, String serverId, long timeoutAtUs) {
        record("send " + requestId + " " + serverId + " " + timeoutAtUs);
        Attempt attempt = new Attempt();
        attempt.sentAtUs = nowUs;
        attempt.server = serverId;
        attempt.uploading = uploadingRequests.containsKey(requestId);
        attemptsByRequest.get(requestId).add(attempt);
        if (!attempt.uploading) {
            scheduleOutcome(requestId, attemptsByRequest.get(requestId).size() - 1, timeoutAtUs);
        } else if (random.nextInt(4) == 0) {
            int number = attemptsByRequest.get(requestId).size() - 1;
            scheduleAfter(random.nextInt(50_000), () -> endAttempt(requestId, number, AttemptResult.RESET));
        }
    }

    @Override
    public void setAttemptDeadline(long requestId, int attempt, long timeoutAtUs) {
        record("deadline " + requestId + " " + attempt + " " + timeoutAtUs);
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
        scheduledEvents.add(new ScheduledEvent(atUs, nextOrder++, () -> balancer.onTimer(nowUs)));
    }

    @Override
    public void probe(String serverId) {
        record("probe " + serverId);
        long latencyUs = 500L + random.nextInt(12_000);
        AttemptResult result = random.nextInt(6) == 0 ? AttemptResult.TIMEOUT : AttemptResult.OK;
        scheduleAfter(latencyUs, () -> balancer.onProbe(nowUs, serverId, result, latencyUs, null));
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
