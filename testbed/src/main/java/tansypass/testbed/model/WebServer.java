package tansypass.testbed.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import tansypass.cluster.runtime.Scheduler;
import tansypass.config.NodeFile.Idempotency;
import tansypass.testbed.scenario.Scenario.Fault;
import tansypass.testbed.scenario.Scenario.RequestClass;
import tansypass.testbed.scenario.Scenario.Servers;

/**
 * A web server of the platform's protocol, without its sockets: cores that execute one request each, a bounded
 * queue, a slow start, the cost of a handshake, a table of connections, idempotency keys, and faults. Its user
 * delivers complete requests and sends the responses. Times are microseconds. Not thread-safe.
 */
public final class WebServer {
    private static final int OK = 200;
    private static final int ERROR = 500;
    private static final int REJECTED = 503;

    private final String name;
    private final Servers spec;
    private final Scheduler scheduler;
    private final UniformRandomProvider random;
    private final ZigguratSampler.Exponential workFactor;
    private final Deque<Execution> queue = new ArrayDeque<>();
    private final Set<Execution> running = new HashSet<>();
    private final List<Runnable> deferredResponses = new ArrayList<>();
    private final Map<String, CachedResponse> cachedResponses = new HashMap<>();
    private long startedUs;
    private int connections;
    private double speedFactor = 1;
    private double errorRate;
    private boolean hanging;
    private boolean draining;

    /**
     * A complete response.
     *
     * @param loadReport empty if the server sends none
     * @param isRejected whether the request is known not to have been executed
     */
    public record Response(int status, String body, Optional<String> loadReport, boolean isRejected) {}

    /** The response to a keyed request, for its repeats. */
    private record CachedResponse(String body, long untilUs) {}

    /** A request that is queued or executing. */
    public final class Execution {
        private final RequestClass requestClass;
        /** Empty unless the class of the request is keyed. */
        private final Optional<String> key;

        private final long workUs;
        private final Consumer<Response> handler;
        private Scheduler.Timer timer;
        private boolean isOver;

        private Execution(RequestClass requestClass, Optional<String> key, long workUs, Consumer<Response> handler) {
            this.requestClass = requestClass;
            this.key = key.filter(any -> requestClass.idempotency() == Idempotency.KEYED);
            this.workUs = workUs;
            this.handler = handler;
        }

        /** Removes it from the queue or its core: its client has cancelled it. No effect once it is over. */
        public void cancel() {
            if (!isOver) {
                isOver = true;
                queue.remove(this);
                release(this);
            }
        }
    }

    /** Creates a server that started long ago, so that its slow start is over. */
    public WebServer(String name, Servers spec, Scheduler scheduler, UniformRandomProvider random) {
        this.name = name;
        this.spec = spec;
        this.scheduler = scheduler;
        this.random = random;
        workFactor = ZigguratSampler.Exponential.of(random);
        startedUs = scheduler.nowUs() - spec.slowStartUs();
    }

    /** Returns its name, such as {@code server-0}. */
    public String name() {
        return name;
    }

    /** Adds a connection to its table; returns false if that is full. */
    public boolean acceptConnection() {
        if (connections >= spec.maxConnections()) {
            return false;
        }
        connections++;
        return true;
    }

    /** A connection has ended; one from before a restart is in no table. */
    public void connectionClosed() {
        connections = Math.max(0, connections - 1);
    }

    /** Returns for how long a connection may be idle. */
    public long idleTimeoutUs() {
        return spec.idleTimeoutUs();
    }

    /**
     * Queues or rejects a complete request.
     *
     * @param key the idempotency key, which counts only if the class of the request has keyed requests
     * @param isFirstOnConnection whether it is the first on its connection, which costs the handshake
     */
    public Execution serve(
            RequestClass requestClass, Optional<String> key, boolean isFirstOnConnection, Consumer<Response> handler) {
        long workUs = Math.round(workFactor.sample() * requestClass.meanWorkUs())
                + (isFirstOnConnection ? spec.handshakeWorkUs() : 0);
        Execution execution = new Execution(requestClass, key, workUs, handler);
        if (draining || (running.size() >= spec.cores() && queue.size() >= spec.maxQueued())) {
            execution.isOver = true;
            sendOrDefer(() -> handler.accept(new Response(REJECTED, "", report(), true)));
        } else {
            queue.add(execution);
            startQueued();
        }
        return execution;
    }

    private void startQueued() {
        while (!hanging && running.size() < spec.cores() && !queue.isEmpty()) {
            Execution execution = queue.poll();
            running.add(execution);
            long serviceUs = Math.max(1, Math.round(execution.workUs / speed()));
            execution.timer = scheduler.after(serviceUs, () -> finish(execution));
        }
    }

    /** Returns its present speed as a share of its full speed. */
    double speed() {
        double warmedUpShare = spec.slowStartUs() == 0
                ? 1
                : Math.min(1, (double) (scheduler.nowUs() - startedUs) / spec.slowStartUs());
        return speedFactor * (spec.slowStartFactor() + (1 - spec.slowStartFactor()) * warmedUpShare);
    }

    private void finish(Execution execution) {
        if (hanging) {
            deferredResponses.add(() -> finish(execution));
        } else if (!execution.isOver) {
            execution.isOver = true;
            respond(execution);
            release(execution);
        }
    }

    private void release(Execution execution) {
        if (running.remove(execution)) {
            execution.timer.cancel();
            startQueued();
        }
    }

    private void respond(Execution execution) {
        if (random.nextDouble() < errorRate) {
            execution.handler.accept(new Response(ERROR, "error", report(), false));
            return;
        }
        String body = execution.key.flatMap(this::findCachedBody).orElseGet(() -> produceBody(execution));
        execution.handler.accept(new Response(OK, body, report(), false));
    }

    private Optional<String> findCachedBody(String key) {
        return Optional.ofNullable(cachedResponses.get(key))
                .filter(cached -> cached.untilUs >= scheduler.nowUs())
                .map(CachedResponse::body);
    }

    private String produceBody(Execution execution) {
        String body = name + " " + HexFormat.of().toHexDigits(random.nextLong());
        long untilUs = scheduler.nowUs() + execution.requestClass.deduplicationWindowUs();
        execution.key.ifPresent(key -> cache(key, new CachedResponse(body, untilUs)));
        return body;
    }

    private void cache(String key, CachedResponse response) {
        cachedResponses.put(key, response);
        scheduler.after(response.untilUs - scheduler.nowUs(), () -> cachedResponses.remove(key, response));
    }

    private Optional<String> report() {
        if (!spec.sendsLoadReports()) {
            return Optional.empty();
        }
        int inFlight = running.size() + queue.size();
        double utilization = (double) running.size() / spec.cores();
        return Optional.of("inflight=" + inFlight + ",queue=" + queue.size() + ",util=" + utilization);
    }

    /** A server that hangs sends nothing. */
    private void sendOrDefer(Runnable response) {
        if (hanging) {
            deferredResponses.add(response);
        } else {
            response.run();
        }
    }

    /**
     * Begins or ends a fault, except that its process is killed.
     *
     * @throws IllegalArgumentException if the fault is none of a server's own
     */
    public void applyFault(Fault fault, boolean begins) {
        switch (fault.kind()) {
            case DRAIN -> draining = begins;
            case CHOKE -> speedFactor = begins ? Math.max(0.001, fault.amount()) : 1;
            case HANG -> setHanging(begins);
            case ERRORS -> errorRate = begins ? fault.amount() : 0;
            default -> throw new IllegalArgumentException(fault + " is not a server's own");
        }
    }

    /** Defers responses, or sends those that were deferred. */
    private void setHanging(boolean on) {
        hanging = on;
        if (!on) {
            List<Runnable> waiting = new ArrayList<>(deferredResponses);
            deferredResponses.clear();
            waiting.forEach(Runnable::run);
            startQueued();
        }
    }

    /** Its process is killed: requests, connections and cached responses are lost. */
    public void stop() {
        queue.forEach(lost -> lost.isOver = true);
        queue.clear();
        running.forEach(lost -> {
            lost.isOver = true;
            lost.timer.cancel();
        });
        running.clear();
        deferredResponses.clear();
        cachedResponses.clear();
        connections = 0;
    }

    /** Its process has started again, and its slow start begins. */
    public void start() {
        startedUs = scheduler.nowUs();
    }
}
