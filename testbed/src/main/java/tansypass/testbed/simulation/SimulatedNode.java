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
 * A node of a simulated run: the product's own balancer, and around it a model of what the product's network
 * code does with requests, attempts, timers and connections. It makes no decision of its own. Times are
 * microseconds. All calls come from the event queue's thread.
 */
final class SimulatedNode implements LoadBalancerActions {
    /** Kept free before the deadline, as the product does: the response still has to reach the client. */
    private static final long RESPONSE_MARGIN_US = 25_000;

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
    /** Runs the balancer's calls: it must not be entered twice. */
    private final SerialExecutor balancerExecutor;

    private Scheduler.Timer balancerTimer;

    /** Creates a node and its balancer, which receives the {@code cached} servers as its first endpoint list. */
    SimulatedNode(
            Scheduler scheduler,
            SimulatedNetwork network,
            BalancerSettings settings,
            long seed,
            List<ServerEntry> cached,
            NodeParts parts) {
        this.scheduler = scheduler;
        this.network = parts.wrapNetwork(network);
        this.settings = settings;
        connections = new SimulatedConnectionPool(scheduler, this.network, settings.idleTimeoutUs());
        balancerExecutor = new SerialExecutor(this.network::balancerFailed);
        balancer = parts.createBalancer(settings, seed, this);
        balancerExecutor.execute(() -> balancer.onEndpointUpdate(scheduler.nowUs(), UpdateKind.CACHED, cached));
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

    /** Removes a request that is over and has no attempt in flight. */
    void removeIfDone(SimulatedRequest request) {
        if (request.isDone()) {
            requests.remove(request.id(), request);
        }
    }

    /** Reports how an attempt ended, as it is when the balancer can be called. */
    void reportOutcome(Supplier<AttemptOutcome> outcome) {
        balancerExecutor.execute(() -> balancer.onOutcome(scheduler.nowUs(), outcome.get()));
    }

    /** The client has closed its connection. */
    void onClientDisconnect(long id) {
        SimulatedRequest request = requests.get(id);
        if (request != null && !request.isOver()) {
            request.finish();
            balancerExecutor.execute(() -> balancer.onClientDisconnect(scheduler.nowUs(), id));
            removeIfDone(request);
        }
    }

    /** A server has reset its connections: those that were idle are closed. */
    void onServerReset(String server) {
        connections.removeAll(server);
    }

    /** A client's request is complete. */
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

    /** The endpoint list has changed. */
    void onEndpointUpdate(List<ServerEntry> changes) {
        balancerExecutor.execute(() -> balancer.onEndpointUpdate(scheduler.nowUs(), UpdateKind.DELTA, changes));
    }

    /** Its process has ended: stops all timers and closes all connections. */
    void stop() {
        balancerExecutor.shutdown();
        if (balancerTimer != null) {
            balancerTimer.cancel();
        }
        connections.close();
        requests.values().forEach(SimulatedRequest::abort);
    }

    /** The estimated number of nodes has changed, as {@link LoadBalancer#onClusterSize} takes it. */
    void onClusterSize(int present, int lost) {
        balancerExecutor.execute(() -> balancer.onClusterSize(scheduler.nowUs(), present, lost));
    }

    /** Returns how many requests are in flight. */
    int inFlight() {
        return requests.size();
    }

    @Override
    public void send(long requestId, String serverId, long untilUs) {
        SimulatedRequest request = requests.get(requestId);
        if (request != null) {
            request.startAttempt(serverId, untilUs);
        }
    }

    @Override
    public void setAttemptDeadline(long requestId, int attempt, long untilUs) {
        // Bodies are short here: an attempt has its deadline from the start.
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
        // The endpoint list is pushed.
    }

    @Override
    public void onNoServerReady(int listed) {
        // Runs on real processes keep the nodes' logs; a simulated node has none.
    }

    @Override
    public void onServerEjected(String serverId, int failures) {
        // As above.
    }

    @Override
    public void onServerRestored(String serverId) {
        // As above.
    }
}
