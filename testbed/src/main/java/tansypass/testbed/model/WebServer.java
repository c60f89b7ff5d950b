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
 * A model of a web server that follows the platform's protocol, without sockets. It has cores that execute one request
 * each, a bounded queue, a slow start, a handshake cost, a connection limit, a cache of responses by idempotency key,
 * and faults. The caller delivers complete requests and sends the responses. Times are microseconds. Not thread-safe.
 */
public final class WebServer {
    private static final int STATUS_OK = 200;
    private static final int STATUS_ERROR = 500;
    private static final int STATUS_UNAVAILABLE = 503;

    private final String name;
    private final Servers settings;
    private final Scheduler scheduler;
    private final UniformRandomProvider random;
    private final ZigguratSampler.Exponential workFactorSampler;
    private final Deque<Execution> queue = new ArrayDeque<>();
    private final Set<Execution> running = new HashSet<>();
    private final List<Runnable> deferredResponses = new ArrayList<>();
    private final Map<String, CachedResponse> cachedResponses = new HashMap<>();
    private long startedUs;
    private int connectionCount;
    private double speedFactor = 1;
    private double errorRate;
    private boolean isHanging;
    private boolean isDraining;

    /**
     * A complete response.
     *
     * @param loadReport the value of the load report header; empty if the server sends none
     * @param isRejected whether the server rejected the request without executing it
     */
    public record Response(int status, String body, Optional<String> loadReport, boolean isRejected) {}

    /** The cached response to a keyed request. Repeats of the request get this response until {@code untilUs}. */
    private record CachedResponse(String body, long untilUs) {}

    /** A request that is queued or being executed. */
    public final class Execution {
        private final RequestClass requestClass;
        /** The idempotency key; empty unless the class of the request is keyed. */
        private final Optional<String> key;

        private final long workUs;
        private final Consumer<Response> handler;
        private Scheduler.Timer finishTimer;
        private boolean isOver;

        private Execution(RequestClass requestClass, Optional<String> key, long workUs, Consumer<Response> handler) {
            this.requestClass = requestClass;
            this.key = key.filter(ignored -> requestClass.idempotency() == Idempotency.KEYED);
            this.workUs = workUs;
            this.handler = handler;
        }

        /** Cancels the request, so that it leaves the queue or its core. No effect once the request is over. */
        public void cancel() {
            if (!isOver) {
                isOver = true;
                queue.remove(this);
                releaseCore(this);
            }
        }
    }

    /** Creates a running server whose slow start is over. */
    public WebServer(String name, Servers settings, Scheduler scheduler, UniformRandomProvider random) {
        this.name = name;
        this.settings = settings;
        this.scheduler = scheduler;
        this.random = random;
        workFactorSampler = ZigguratSampler.Exponential.of(random);
        startedUs = scheduler.nowUs() - settings.slowStartUs();
    }

    /** Returns the name of the server, such as {@code server-0}. */
    public String name() {
        return name;
    }

    /** Accepts a connection; returns false if the server already has the maximum number. */
    public boolean acceptConnection() {
        if (connectionCount >= settings.maxConnections()) {
            return false;
        }
        connectionCount++;
        return true;
    }

    /** Called when a connection has ended. Connections from before a restart are no longer counted. */
    public void connectionClosed() {
        connectionCount = Math.max(0, connectionCount - 1);
    }

    /** Returns the time after which the server closes an idle connection. */
    public long idleTimeoutUs() {
        return settings.idleTimeoutUs();
    }

    /**
     * Queues or rejects a complete request.
     *
     * @param key the idempotency key, which is ignored unless the class of the request is keyed
     * @param isFirstOnConnection whether the request is the first one on its connection, which adds the handshake cost
     */
    public Execution serve(
            RequestClass requestClass, Optional<String> key, boolean isFirstOnConnection, Consumer<Response> handler) {
        long workUs = Math.round(workFactorSampler.sample() * requestClass.meanWorkUs())
                + (isFirstOnConnection ? settings.handshakeWorkUs() : 0);
        Execution execution = new Execution(requestClass, key, workUs, handler);
        if (isDraining || (running.size() >= settings.cores() && queue.size() >= settings.maxQueued())) {
            execution.isOver = true;
            sendOrDefer(() -> handler.accept(new Response(STATUS_UNAVAILABLE, "", loadReport(), true)));
        } else {
            queue.add(execution);
            startQueuedRequests();
        }
        return execution;
    }

    private void startQueuedRequests() {
        while (!isHanging && running.size() < settings.cores() && !queue.isEmpty()) {
            Execution execution = queue.poll();
            running.add(execution);
            long serviceUs = Math.max(1, Math.round(execution.workUs / speed()));
            execution.finishTimer = scheduler.after(serviceUs, () -> finish(execution));
        }
    }

    /** Returns the present speed as a share of the full speed. */
    double speed() {
        double warmedUpShare = settings.slowStartUs() == 0
                ? 1
                : Math.min(1, (double) (scheduler.nowUs() - startedUs) / settings.slowStartUs());
        return speedFactor * (settings.slowStartFactor() + (1 - settings.slowStartFactor()) * warmedUpShare);
    }

    private void finish(Execution execution) {
        if (isHanging) {
            deferredResponses.add(() -> finish(execution));
        } else if (!execution.isOver) {
            execution.isOver = true;
            sendResponse(execution);
            releaseCore(execution);
        }
    }

    private void releaseCore(Execution execution) {
        if (running.remove(execution)) {
            execution.finishTimer.cancel();
            startQueuedRequests();
        }
    }

    private void sendResponse(Execution execution) {
        if (random.nextDouble() < errorRate) {
            execution.handler.accept(new Response(STATUS_ERROR, "error", loadReport(), false));
            return;
        }
        String body = execution.key.flatMap(this::findCachedBody).orElseGet(() -> produceBody(execution));
        execution.handler.accept(new Response(STATUS_OK, body, loadReport(), false));
    }

    private Optional<String> findCachedBody(String key) {
        return Optional.ofNullable(cachedResponses.get(key))
                .filter(cached -> cached.untilUs >= scheduler.nowUs())
                .map(CachedResponse::body);
    }

    private String produceBody(Execution execution) {
        String body = name + " " + HexFormat.of().toHexDigits(random.nextLong());
        long untilUs = scheduler.nowUs() + execution.requestClass.deduplicationWindowUs();
        execution.key.ifPresent(key -> cacheResponse(key, new CachedResponse(body, untilUs)));
        return body;
    }

    private void cacheResponse(String key, CachedResponse response) {
        cachedResponses.put(key, response);
        scheduler.after(response.untilUs - scheduler.nowUs(), () -> cachedResponses.remove(key, response));
    }

    private Optional<String> loadReport() {
        if (!settings.sendsLoadReports()) {
            return Optional.empty();
        }
        int inFlight = running.size() + queue.size();
        double utilization = (double) running.size() / settings.cores();
        return Optional.of("inflight=" + inFlight + ",queue=" + queue.size() + ",util=" + utilization);
    }

    /** Sends a response, or defers it while the server hangs. */
    private void sendOrDefer(Runnable response) {
        if (isHanging) {
            deferredResponses.add(response);
        } else {
            response.run();
        }
    }

    /**
     * Begins or ends a fault of the server other than the kill of its process.
     *
     * @throws IllegalArgumentException if the fault is not one of a server, or is a kill
     */
    public void applyFault(Fault fault, boolean begins) {
        switch (fault.kind()) {
            case DRAIN -> isDraining = begins;
            case CHOKE -> speedFactor = begins ? Math.max(0.001, fault.amount()) : 1;
            case HANG -> setHanging(begins);
            case ERRORS -> errorRate = begins ? fault.amount() : 0;
            default -> throw new IllegalArgumentException("fault does not apply to a web server: " + fault);
        }
    }

    /** Starts to defer responses, or sends the deferred ones and executes queued requests again. */
    private void setHanging(boolean hanging) {
        isHanging = hanging;
        if (!hanging) {
            List<Runnable> responses = new ArrayList<>(deferredResponses);
            deferredResponses.clear();
            responses.forEach(Runnable::run);
            startQueuedRequests();
        }
    }

    /** Kills the process, which loses its requests, connections and cached responses. */
    public void stop() {
        queue.forEach(execution -> execution.isOver = true);
        queue.clear();
        running.forEach(execution -> {
            execution.isOver = true;
            execution.finishTimer.cancel();
        });
        running.clear();
        deferredResponses.clear();
        cachedResponses.clear();
        connectionCount = 0;
    }

    /** Starts the process again, and begins its slow start. */
    public void start() {
        startedUs = scheduler.nowUs();
    }
}
