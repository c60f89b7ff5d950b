package tansypass.balancer;

import java.util.Arrays;
import java.util.SplittableRandom;

/**
 * Selects servers: two draws by ServiceQ's weights for a first attempt, list order for a retry. All methods that return
 * a server return null if there is none, since they are called for each request.
 */
final class ServerSelector {
    /** How often a server that may not be sent to is drawn again before all are looked through. */
    private static final int MAX_REDRAWS = 3;

    /** From so many attempts in flight on, a local server competes with other zones; they win with fewer by as many. */
    private static final int SPILLOVER_IN_FLIGHT = 2;

    private final BalancerSettings settings;
    private final EndpointTable servers;
    private final ErrorWeights weights;
    private final RelativeLatencies latencies;
    private final ServerAdmission admission;
    private final SplittableRandom random;
    private WeightedSampler<Server, PendingRequest> all;
    /** The servers of this node's own zone; the same as all where crossing zones is free. */
    private WeightedSampler<Server, PendingRequest> local;

    ServerSelector(
            BalancerSettings settings,
            EndpointTable servers,
            ErrorWeights weights,
            RelativeLatencies latencies,
            ServerAdmission admission,
            SplittableRandom random) {
        this.settings = settings;
        this.servers = servers;
        this.weights = weights;
        this.latencies = latencies;
        this.admission = admission;
        this.random = random;
        all = createSampler(servers.ready());
        local = all;
    }

    /** Takes over the ready servers. */
    void onEndpointUpdate() {
        Server[] ready = servers.ready();
        all = createSampler(ready);
        local = settings.crossZonePrice() == 0
                ? all
                : createSampler(Arrays.stream(ready).filter(this::isLocal).toArray(Server[]::new));
        weights.markStale();
    }

    private WeightedSampler<Server, PendingRequest> createSampler(Server[] from) {
        return new WeightedSampler<>(from, weights::weight, admission::tryAdmit);
    }

    private boolean isLocal(Server server) {
        return server.zone() == settings.localZone();
    }

    /** Selects a server for a request: a half-open one, one of two drawn, or an ejected one if there is no other. */
    Server selectOrNull(PendingRequest pending, long nowUs) {
        Server halfOpen = halfOpenServerOrNull(pending, nowUs);
        if (halfOpen != null) {
            return halfOpen;
        }
        Server drawn = drawByZoneOrNull(pending, nowUs);
        if (drawn != null) {
            return drawn;
        }
        return lastResortOrNull(pending, nowUs);
    }

    /** Selects the next server in list order for a failed request, one without errors if there is one. */
    Server selectNextOrNull(PendingRequest pending, Server failed, long nowUs) {
        Server preferred = nextInListOrderOrNull(pending, failed, true, nowUs);
        return preferred != null ? preferred : nextInListOrderOrNull(pending, failed, false, nowUs);
    }

    private Server nextInListOrderOrNull(PendingRequest pending, Server failed, boolean preferredOnly, long nowUs) {
        Server[] ready = servers.ready();
        for (int i = 1; i <= ready.length; i++) {
            Server next = ready[(failed.position() + i) % ready.length];
            boolean considered = !preferredOnly || isPreferredForRetry(next);
            if (considered && !pending.hasTried(next) && admission.tryAdmit(pending, next, nowUs)) {
                return next;
            }
        }
        return null;
    }

    /** Departure from ServiceQ: servers of the own zone come first where crossing zones has a price. */
    private boolean isPreferredForRetry(Server server) {
        return server.errors() == 0 && (local == all || isLocal(server));
    }

    /** Returns an ejected server that is due for a half-open probe: a single request. */
    Server halfOpenServerOrNull(PendingRequest pending, long nowUs) {
        if (!mayTryEjected(pending)) {
            return null;
        }
        for (Server server : servers.ready()) {
            boolean halfOpen = server.ejection.isHalfOpen(nowUs) && server.inFlight() == 0;
            if (halfOpen && admission.tryAdmitUnlimited(pending, server, nowUs)) {
                return server;
            }
        }
        return null;
    }

    /** Returns the ejected server with the fewest failures: in an overloaded cluster its capacity is needed. */
    private Server lastResortOrNull(PendingRequest pending, long nowUs) {
        if (!mayTryEjected(pending)) {
            return null;
        }
        Server best = null;
        for (Server server : servers.ready()) {
            if (isLastResort(server, nowUs)
                    && admission.tryAdmitUnlimited(pending, server, nowUs)
                    && (best == null || server.ejection.failures() < best.ejection.failures())) {
                best = server;
            }
        }
        return best;
    }

    private static boolean isLastResort(Server server, long nowUs) {
        return server.ejection.isEjected()
                && server.ejection.hasSucceededLately(nowUs)
                && !server.limit.isReached(server.inFlight());
    }

    private boolean mayTryEjected(PendingRequest pending) {
        return servers.ejectedCount() > 0 && !pending.isNonIdempotent();
    }

    /**
     * Draws two servers and returns the better one. Departure from ServiceQ: where crossing zones has a price, both are
     * of the own zone, and two more are drawn from all servers if that choice is crowded or fails.
     */
    Server drawByZoneOrNull(PendingRequest pending, long nowUs) {
        Server localChoice = drawTwoOrNull(pending, local, nowUs);
        if (local == all || isUncrowded(localChoice)) {
            return localChoice;
        }
        Server other = drawTwoOrNull(pending, all, nowUs);
        if (localChoice == null) {
            return other;
        }
        return other != null && isWorthCrossing(other, localChoice) ? other : localChoice;
    }

    private static boolean isUncrowded(Server server) {
        return server != null && server.inFlight() < SPILLOVER_IN_FLIGHT && server.errors() == 0;
    }

    private static boolean isWorthCrossing(Server other, Server local) {
        return other.inFlight() + SPILLOVER_IN_FLIGHT <= local.inFlight() || other.errors() < local.errors();
    }

    private Server drawTwoOrNull(PendingRequest pending, WeightedSampler<Server, PendingRequest> from, long nowUs) {
        updateWeights();
        Server first = from.drawOrNull(random, MAX_REDRAWS, pending, null, nowUs);
        if (first == null) {
            return null;
        }
        Server second = from.drawOrNull(random, MAX_REDRAWS, pending, first, nowUs);
        if (second == null) {
            return first;
        }
        if (first.inFlight() == second.inFlight()) {
            return breakTie(first, second, nowUs);
        }
        return first.inFlight() < second.inFlight() ? first : second;
    }

    /**
     * Departure from ServiceQ, ties: the server that was faster lately wins. A node among many has nothing in flight at
     * nearly all servers, so that nearly all choices are ties.
     */
    private Server breakTie(Server first, Server second, long nowUs) {
        double difference = latencies.difference(first, second, nowUs);
        if (RelativeLatencies.isNegligible(difference)) {
            return random.nextInt(2) == 0 ? second : first;
        }
        return difference > 0 ? second : first;
    }

    private void updateWeights() {
        if (weights.areStale()) {
            weights.refresh(servers.ready());
            all.update();
            local.update();
        }
    }
}
