package tansypass.balancer;

import java.util.Arrays;
import java.util.SplittableRandom;

/**
 * Selects a server for each attempt. A first attempt goes to one of two servers that are drawn by ServiceQ's weights; a
 * retry goes to the next server in list order. Methods return null rather than an {@code Optional} if no server admits
 * the request, because they are called for each request.
 */
final class ServerSelector {
    /** Largest number of further draws after a server that does not admit the request; then all servers are checked. */
    private static final int MAX_REDRAWS = 3;

    /**
     * Number of attempts in flight at a local server from which servers of other zones are considered. A server of
     * another zone is then selected if it has fewer attempts in flight by at least this number.
     */
    private static final int SPILLOVER_IN_FLIGHT = 2;

    private final BalancerSettings settings;
    private final EndpointTable servers;
    private final ErrorWeights weights;
    private final RelativeLatencies latencies;
    private final ServerAdmission admission;
    private final SplittableRandom random;
    private WeightedSampler<Server, PendingRequest> allServers;
    /** The servers of this node's own zone; the same object as {@code allServers} if crossing zones is free. */
    private WeightedSampler<Server, PendingRequest> localServers;

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
        allServers = createSampler(servers.ready());
        localServers = allServers;
    }

    /** Replaces the servers to select from by the servers that are ready now. */
    void onEndpointUpdate() {
        Server[] ready = servers.ready();
        allServers = createSampler(ready);
        localServers = settings.crossZonePrice() == 0
                ? allServers
                : createSampler(Arrays.stream(ready).filter(this::isLocal).toArray(Server[]::new));
        weights.markStale();
    }

    private WeightedSampler<Server, PendingRequest> createSampler(Server[] candidates) {
        return new WeightedSampler<>(candidates, weights::weight, admission::tryAdmit);
    }

    private boolean isLocal(Server server) {
        return server.zone() == settings.localZone();
    }

    /** Selects a half-open server if there is one, otherwise one of two drawn servers, otherwise an ejected server. */
    Server selectOrNull(PendingRequest pending, long nowUs) {
        Server halfOpen = findHalfOpenOrNull(pending, nowUs);
        if (halfOpen != null) {
            return halfOpen;
        }
        Server drawn = drawByZoneOrNull(pending, nowUs);
        if (drawn != null) {
            return drawn;
        }
        return findLastResortOrNull(pending, nowUs);
    }

    /** Selects the next server in list order after the failed one; servers without errors are preferred. */
    Server selectNextOrNull(PendingRequest pending, Server failed, long nowUs) {
        Server preferred = findNextInListOrderOrNull(pending, failed, true, nowUs);
        return preferred != null ? preferred : findNextInListOrderOrNull(pending, failed, false, nowUs);
    }

    private Server findNextInListOrderOrNull(PendingRequest pending, Server failed, boolean preferredOnly, long nowUs) {
        Server[] ready = servers.ready();
        for (int i = 1; i <= ready.length; i++) {
            Server next = ready[(failed.readyIndex() + i) % ready.length];
            boolean eligible = !preferredOnly || isPreferredForRetry(next);
            if (eligible && !pending.hasTried(next) && admission.tryAdmit(pending, next, nowUs)) {
                return next;
            }
        }
        return null;
    }

    /** Departure from ServiceQ: servers of this node's zone are preferred if crossing zones has a price. */
    private boolean isPreferredForRetry(Server server) {
        return server.errors() == 0 && (localServers == allServers || isLocal(server));
    }

    /** Returns an ejected server that is due for a half-open probe, which is a single request. */
    Server findHalfOpenOrNull(PendingRequest pending, long nowUs) {
        if (!mayTryEjected(pending)) {
            return null;
        }
        for (Server server : servers.ready()) {
            boolean canProbe = server.ejection.isHalfOpen(nowUs) && server.inFlight() == 0;
            if (canProbe && admission.tryAdmitIgnoringLimits(pending, server, nowUs)) {
                return server;
            }
        }
        return null;
    }

    /**
     * Returns the ejected server with the fewest failures: an overloaded cluster needs the capacity of these servers.
     */
    private Server findLastResortOrNull(PendingRequest pending, long nowUs) {
        if (!mayTryEjected(pending)) {
            return null;
        }
        Server best = null;
        for (Server server : servers.ready()) {
            if (isLastResort(server, nowUs)
                    && admission.tryAdmitIgnoringLimits(pending, server, nowUs)
                    && (best == null || server.ejection.failures() < best.ejection.failures())) {
                best = server;
            }
        }
        return best;
    }

    private static boolean isLastResort(Server server, long nowUs) {
        return server.ejection.isEjected()
                && server.ejection.hasSucceededRecently(nowUs)
                && !server.limit.isReached(server.inFlight());
    }

    private boolean mayTryEjected(PendingRequest pending) {
        return servers.ejectedCount() > 0 && !pending.isNonIdempotent();
    }

    /**
     * Draws two servers and returns the better one. Departure from ServiceQ: if crossing zones has a price, both are
     * drawn from this node's zone. If the better one of these is busy or has errors, or there is none, two more are
     * drawn from all servers.
     */
    Server drawByZoneOrNull(PendingRequest pending, long nowUs) {
        Server localChoice = drawTwoOrNull(pending, localServers, nowUs);
        if (localServers == allServers || isUncrowded(localChoice)) {
            return localChoice;
        }
        Server anyZoneChoice = drawTwoOrNull(pending, allServers, nowUs);
        if (localChoice == null) {
            return anyZoneChoice;
        }
        return anyZoneChoice != null && isWorthCrossing(anyZoneChoice, localChoice) ? anyZoneChoice : localChoice;
    }

    private static boolean isUncrowded(Server server) {
        return server != null && server.inFlight() < SPILLOVER_IN_FLIGHT && server.errors() == 0;
    }

    private static boolean isWorthCrossing(Server other, Server local) {
        return other.inFlight() + SPILLOVER_IN_FLIGHT <= local.inFlight() || other.errors() < local.errors();
    }

    private Server drawTwoOrNull(PendingRequest pending, WeightedSampler<Server, PendingRequest> sampler, long nowUs) {
        updateWeights();
        Server first = sampler.drawOrNull(random, MAX_REDRAWS, pending, null, nowUs);
        if (first == null) {
            return null;
        }
        Server second = sampler.drawOrNull(random, MAX_REDRAWS, pending, first, nowUs);
        if (second == null) {
            return first;
        }
        if (first.inFlight() == second.inFlight()) {
            return breakTie(first, second, nowUs);
        }
        return first.inFlight() < second.inFlight() ? first : second;
    }

    /**
     * Selects one of two servers with equally many attempts in flight. Departure from ServiceQ: the server with the
     * lower recent latency is selected. In a large cluster a node has no attempt in flight at most of the servers, and
     * most choices are such ties.
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
            allServers.update();
            localServers.update();
        }
    }
}
