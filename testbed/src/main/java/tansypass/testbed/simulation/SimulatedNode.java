package tansypass.testbed.simulation;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import tansypass.balancer.AttemptOutcome;
import tansypass.balancer.BalancerRequest;
import tansypass.balancer.BalancerSettings;
import tansypass.balancer.LoadBalancer;
import tansypass.balancer.LoadBalancerActions;
import tansypass.balancer.ServerEntry;
import tansypass.balancer.UpdateKind;
import tansypass.cluster.runtime.Scheduler;

/**
 * A node of a simulated run. It runs the product's balancer and models the product's network code, which handles
 * requests, attempts, timers and connections. All decisions come from the balancer. Times are microseconds. All calls
 * come from the event queue's thread.
 */
final class SimulatedNode implements LoadBalancerActions {
    /** Attempts end this time before the deadline, as in the product: the response still has to reach the client. */
    private static final long RESPONSE_MARGIN_US = 25_000;
    /** The margin is at most one eighth of the remaining time. */
    private static final int RESPONSE_MARGIN_RATIO = 8;

    private static final int STATUS_SERVICE_UNAVAILABLE = 503;
    private static final int STATUS_BAD_GATEWAY = 502;
    private static final int STATUS_GATEWAY_TIMEOUT = 504;

    private final Scheduler scheduler;
    private final SimulatedNetwork network;
    private final BalancerSettings settings;
    private final LoadBalancer balancer;
    private final SimulatedConnectionPool connections;
    private final Map<Long, SimulatedRequest> requests = new HashMap<>();
    /** Serializes the calls of the balancer, which is not reentrant. */
    private final SerialExecutor balancerExecutor;

    private Scheduler.Timer balancerTimer;

    /** Creates a node and its balancer, whose first endpoint list is {@code cachedServers}. */
    SimulatedNode(
            Scheduler scheduler,
            SimulatedNetwork network,
            BalancerSettings settings,
            long seed,
            List<ServerEntry> cachedServers,
            NodeParts parts) {
        this.scheduler = scheduler;
        this.network = parts.wrapNetwork(network);
        this.settings = settings;
        connections = new SimulatedConnectionPool(scheduler, this.network, settings.idleTimeoutUs());
        balancerExecutor = new SerialExecutor(this.network::balancerFailed);
        balancer = parts.createBalancer(settings, seed, this);
        balancerExecutor.execute(() -> balancer.onEndpointUpdate(scheduler.nowUs(), UpdateKind.CACHED, cachedServers));
    }

    Scheduler scheduler() {
        return scheduler;
    }

    SimulatedNetwork network() {
        return network;
    }

    SimulatedConnectionPool connections() {
        return connections;
    }

    long connectTimeoutUs() {
        return settings.connectTimeoutUs();
    }

    boolean isStopped() {
        return balancerExecutor.isShutDown();
    }

    /** Removes a request if it is over and has no attempt in flight. */
    void removeIfDone(SimulatedRequest request) {
        if (request.isDone()) {
            requests.remove(request.id(), request);
        }
    }

    /** Reports the outcome of an attempt to the balancer; {@code outcome} is evaluated only when the call runs. */
    void reportOutcome(Supplier<AttemptOutcome> outcome) {
        balancerExecutor.execute(() -> balancer.onOutcome(scheduler.nowUs(), outcome.get()));
    }

    /** Called when a client has closed its connection. */
    void onClientDisconnect(long id) {
        SimulatedRequest request = requests.get(id);
        if (request != null && !request.isOver()) {
            request.finish();
            balancerExecutor.execute(() -> balancer.onClientDisconnect(scheduler.nowUs(), id));
            removeIfDone(request);
        }
    }

    /** Called when a server has reset its connections; idle ones are removed from the pool. */
    void onServerReset(String server) {
        connections.removeAll(server);
    }

    /** Called when a complete request of a client has arrived. */
    void onRequest(long id, int classIndex, long remainingUs) {
        long nowUs = scheduler.nowUs();
        long deadlineUs = nowUs + remainingUs - Math.min(RESPONSE_MARGIN_US, remainingUs / RESPONSE_MARGIN_RATIO);
        SimulatedRequest request = new SimulatedRequest(this, id, deadlineUs);
        requests.put(id, request);
        request.setDeadlineTimer(scheduler.after(remainingUs, () -> onDeadlineExceeded(request)));
        BalancerRequest balancerRequest = new BalancerRequest(id, classIndex, -1, deadlineUs - nowUs, 0, false);
        balancerExecutor.execute(() -> balancer.onRequest(nowUs, balancerRequest));
    }

    private void onDeadlineExceeded(SimulatedRequest request) {
        if (!isStopped()) {
            request.respond(STATUS_GATEWAY_TIMEOUT, "");
            balancerExecutor.execute(() -> balancer.onClientDisconnect(scheduler.nowUs(), request.id()));
        }
    }

    /** Called when entries of the endpoint list have changed. */
    void onEndpointUpdate(List<ServerEntry> changes) {
        balancerExecutor.execute(() -> balancer.onEndpointUpdate(scheduler.nowUs(), UpdateKind.DELTA, changes));
    }

    /** Stops all timers and closes all connections, because the process has ended. */
    void stop() {
        balancerExecutor.shutdown();
        if (balancerTimer != null) {
            balancerTimer.cancel();
        }
        connections.close();
        requests.values().forEach(SimulatedRequest::abort);
    }

    /** Called when the estimated number of nodes has changed; see {@link LoadBalancer#onClusterSize}. */
    void onClusterSize(int presentNodes, int lostNodes) {
        balancerExecutor.execute(() -> balancer.onClusterSize(scheduler.nowUs(), presentNodes, lostNodes));
    }

    /** Returns the number of requests in flight. */
    int inFlight() {
        return requests.size();
    }

    @Override
    public void send(long requestId, String serverId, long attemptDeadlineUs) {
        SimulatedRequest request = requests.get(requestId);
        if (request != null) {
            request.startAttempt(serverId, attemptDeadlineUs);
        }
    }

    @Override
    public void setAttemptDeadline(long requestId, int attempt, long deadlineUs) {
        // Simulated request bodies are short, so each attempt has its deadline from the start.
    }

    @Override
    public void cancel(long requestId, int attempt) {
        SimulatedRequest request = requests.get(requestId);
        if (request != null) {
            request.cancelAttempt(attempt);
        }
    }

    @Override
    public void reject(long requestId, long retryAfterUs) {
        SimulatedRequest request = requests.get(requestId);
        if (request != null) {
            request.respond(STATUS_SERVICE_UNAVAILABLE, "");
        }
    }

    @Override
    public void fail(long requestId) {
        SimulatedRequest request = requests.get(requestId);
        if (request != null) {
            request.respond(STATUS_BAD_GATEWAY, "");
        }
    }

    @Override
    public void scheduleTimer(long atUs) {
        if (balancerTimer != null) {
            balancerTimer.cancel();
        }
        balancerTimer = scheduler.after(
                atUs - scheduler.nowUs(), () -> balancerExecutor.execute(() -> balancer.onTimer(scheduler.nowUs())));
    }

    @Override
    public void probe(String serverId) {
        throw new IllegalStateException("probes are not allowed by a scenario's settings");
    }

    @Override
    public void subscribe() {
        // A simulated node always receives the changes of the endpoint list.
    }

    @Override
    public void onNoServerReady(int listedServers) {
        // Only real nodes write a log.
    }

    @Override
    public void onServerEjected(String serverId, int failures) {
        // Only real nodes write a log.
    }

    @Override
    public void onServerRestored(String serverId) {
        // Only real nodes write a log.
    }
}
