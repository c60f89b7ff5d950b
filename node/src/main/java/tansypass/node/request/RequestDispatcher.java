package tansypass.node.request;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import tansypass.balancer.LoadBalancer;
import tansypass.balancer.LoadBalancerActions;
import tansypass.node.admin.NodeMetrics;
import tansypass.node.balancing.BalancerExecutor;
import tansypass.node.balancing.EndpointListAdapter;
import tansypass.node.frontend.Exchange;
import tansypass.node.logging.LogEvent;
import tansypass.node.upstream.UpstreamConnectionPool;

/**
 * Holds the requests in flight and executes the load balancer's actions on them; it makes no decision itself. All
 * methods must be called on the event loop. Only the load balancer calls the methods of {@link LoadBalancerActions}.
 */
public final class RequestDispatcher implements LoadBalancerActions {
    private static final Logger LOG = System.getLogger(RequestDispatcher.class.getName());
    private static final Logger BALANCER_LOG = System.getLogger(LoadBalancer.class.getName());

    private final BalancerExecutor balancer;
    private final UpstreamConnectionPool pool;
    private final EndpointListAdapter endpoints;
    private final NodeMetrics metrics;
    private final Map<Long, InFlightRequest> requests = new HashMap<>();
    private final AbandonedRequestIds abandonedIds = new AbandonedRequestIds();
    private final AbortLog abortLog = new AbortLog(System::nanoTime);
    /** Shared by all requests, to save an allocation for each. */
    private final InFlightRequest.CompletionListener completionListener = new InFlightRequest.CompletionListener() {
        @Override
        public void onRequestComplete(InFlightRequest request) {
            // A second call for the request has no effect.
            requests.remove(request.id(), request);
        }

        @Override
        public void onExecutedRequestAbandoned(InFlightRequest request) {
            abandonedIds.add(request.id(), System.nanoTime());
        }
    };

    /** Creates a dispatcher without requests. */
    public RequestDispatcher(
            BalancerExecutor balancer,
            UpstreamConnectionPool pool,
            EndpointListAdapter endpoints,
            NodeMetrics metrics) {
        this.balancer = balancer;
        this.pool = pool;
        this.endpoints = endpoints;
        this.metrics = metrics;
    }

    /**
     * Accepts a client's request, or responds with status 409 if a request with the same id is in flight, or may have
     * been executed for a client that has left and is not idempotent.
     */
    public void accept(Exchange exchange) {
        long id = exchange.request().id();
        boolean idempotent = exchange.request().isIdempotent();
        if (requests.containsKey(id) || (!idempotent && abandonedIds.contains(id, System.nanoTime()))) {
            exchange.fail(HttpResponseStatus.CONFLICT, "a request of this id is in hand");
            return;
        }
        InFlightRequest request = new InFlightRequest(exchange, completionListener, balancer, metrics, abortLog);
        requests.put(id, request);
        request.start();
    }

    /** Responds with an error to all requests whose response has not started. */
    public void failUnanswered() {
        List.copyOf(requests.values()).forEach(InFlightRequest::failIfUnanswered);
    }

    /** Ends all requests, without sending responses. */
    public void close() {
        // Iterates over a copy, because a request without an attempt in flight is removed from the map when it ends.
        List.copyOf(requests.values()).forEach(InFlightRequest::end);
    }

    @Override
    public void send(long requestId, String serverId, long deadlineUs) {
        InFlightRequest request = requests.get(requestId);
        if (request == null) {
            LOG.log(
                    Level.ERROR,
                    LogEvent.UNKNOWN_REQUEST_SENT.line(HexFormat.of().toHexDigits(requestId), serverId));
            return;
        }
        request.sendAttempt(pool, serverId, deadlineUs);
    }

    @Override
    public void setAttemptDeadline(long requestId, int attempt, long deadlineUs) {
        InFlightRequest request = requests.get(requestId);
        if (request != null) {
            request.setAttemptDeadline(attempt, deadlineUs);
        }
    }

    @Override
    public void cancel(long requestId, int attempt) {
        InFlightRequest request = requests.get(requestId);
        if (request != null) {
            request.cancelAttempt(attempt);
        }
    }

    @Override
    public void reject(long requestId, long retryAfterUs) {
        InFlightRequest request = requests.get(requestId);
        if (request != null) {
            request.reject(retryAfterUs);
        }
    }

    @Override
    public void fail(long requestId) {
        InFlightRequest request = requests.get(requestId);
        if (request != null) {
            request.fail(HttpResponseStatus.BAD_GATEWAY, "failed");
        }
    }

    @Override
    public void scheduleTimer(long atUs) {
        balancer.scheduleTimer(atUs);
    }

    @Override
    public void probe(String serverId) {
        new HealthProbe(balancer, serverId).start(pool);
    }

    @Override
    public void subscribe() {
        endpoints.subscribe();
    }

    @Override
    public void onNoServerReady(int listed) {
        BALANCER_LOG.log(Level.INFO, LogEvent.NO_SERVER_READY.line(listed));
    }

    @Override
    public void onServerEjected(String serverId, int failures) {
        BALANCER_LOG.log(Level.INFO, LogEvent.SERVER_EJECTED.line(serverId, failures));
    }

    @Override
    public void onServerRestored(String serverId) {
        BALANCER_LOG.log(Level.INFO, LogEvent.SERVER_RESTORED.line(serverId));
    }
}
