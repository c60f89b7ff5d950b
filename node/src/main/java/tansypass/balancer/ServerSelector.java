package tansypass.balancer;

import java.util.Arrays;
import java.util.List;

/** Selects servers: ServiceQ's two weighted draws and list order, with exceptions for zones, ties and outliers. */
final class ServerSelector {
    private static final int MAX_REDRAWS = 3;
    private static final int SPILLOVER_IN_FLIGHT = 2;

    private final BalancerContext context;
    private WeightedSampler<Server, PendingRequest> all = sampler(new Server[0]);
    /** The servers of this node's own zone; the same as all where crossing is free. */
    private WeightedSampler<Server, PendingRequest> local = all;

    private double largestEffect = 1;

    ServerSelector(BalancerContext context) {
        this.context = context;
    }

    void onEndpointUpdate() {
        Server[] ready = context.servers.ready;
        all = sampler(ready);
        boolean zoned = context.settings.crossZonePrice() != 0;
        local = zoned ? sampler(Arrays.stream(ready).filter(this::isLocal).toArray(Server[]::new)) : all;
    }

    private WeightedSampler<Server, PendingRequest> sampler(Server[] from) {
        return new WeightedSampler<>(from, this::weight, this::maySend);
    }

    private boolean isLocal(Server server) {
        return server.zone == context.settings.localZone();
    }

    /** A server for a request, or null if none may get it now. */
    Server select(PendingRequest pending) {
        Server server = halfOpenServer(pending);
        server = server == null ? drawByZone(pending) : server;
        return server == null ? lastResort(pending) : server;
    }

    /** The next server in list order that may get a failed request, those that have not failed last first, or null. */
    Server selectNext(PendingRequest pending, Server failed) {
        List<Server> tried = Arrays.asList(pending.servers);
        Server[] ready = context.servers.ready;
        for (int pass = 0; pass < 2; pass++) {
            for (int i = 1; i <= ready.length; i++) {
                Server next = ready[(failed.position + i) % ready.length];
                // Exception: where crossing costs, servers of the own zone come first.
                boolean preferred = next.errors == 0 && (local == all || isLocal(next));
                if ((preferred || pass > 0) && !tried.contains(next) && maySend(pending, next)) {
                    return next;
                }
            }
        }
        return null;
    }

    Server halfOpenServer(PendingRequest pending) {
        if (mayTryEjected(pending)) {
            for (Server server : context.servers.ready) {
                boolean halfOpen = server.ejected && context.now >= server.halfOpenAt && server.inFlight == 0;
                if (halfOpen && isAllowed(pending, server)) {
                    return server;
                }
            }
        }
        return null;
    }

    /** An ejected server, or null: in a crowded fleet half of a failing server's work is worth more than none. */
    private Server lastResort(PendingRequest pending) {
        Server best = null;
        if (mayTryEjected(pending)) {
            for (Server server : context.servers.ready) {
                if (server.ejected
                        && context.now < server.succeededAt + OutlierEjection.MAX_EJECTION_US
                        && !context.limiter.isAtLimit(server)
                        && isAllowed(pending, server)
                        && (best == null || server.results.failures() < best.results.failures())) {
                    best = server;
                }
            }
        }
        return best;
    }

    private boolean mayTryEjected(PendingRequest pending) {
        return context.servers.ejectedCount > 0 && pending.requestClass.idempotency() != Idempotency.NON_IDEMPOTENT;
    }

    /** Exception, zones: where crossing costs, draws are local; two more from all servers win only if that is bad. */
    Server drawByZone(PendingRequest pending) {
        Server server = drawTwo(pending, local);
        if (local == all || (server != null && server.inFlight < SPILLOVER_IN_FLIGHT && server.errors == 0)) {
            return server;
        }
        Server other = drawTwo(pending, all);
        return server == null || (other != null && isBetter(other, server)) ? other : server;
    }

    private static boolean isBetter(Server other, Server local) {
        return other.inFlight + SPILLOVER_IN_FLIGHT <= local.inFlight || other.errors < local.errors;
    }

    private Server drawTwo(PendingRequest pending, WeightedSampler<Server, PendingRequest> from) {
        if (context.servers.weightsStale) {
            updateWeights();
        }
        Server first = from.draw(context.random, MAX_REDRAWS, pending, null);
        Server second = first == null ? null : from.draw(context.random, MAX_REDRAWS, pending, first);
        if (second == null || first.inFlight < second.inFlight) {
            return first;
        }
        if (first.inFlight > second.inFlight) {
            return second;
        }
        // Exception, ties: of a node among many, nearly all are; they go to the server that was quicker of late.
        int order = context.latencies.compare(first, second);
        return order > 0 || (order == 0 && context.random.nextInt(2) == 0) ? second : first;
    }

    private void updateWeights() {
        int most = 0;
        for (Server server : context.servers.ready) {
            most = Math.max(most, server.errors);
        }
        largestEffect = Math.floor(Math.pow(1 + most, 1.5));
        all.update();
        local.update();
        context.servers.weightsStale = false;
    }

    /** The paper's weight. Exception, sizes: it counts for each part of a server's size by the list. */
    private double weight(Server server) {
        return server.capacityWeight * Math.ceil(largestEffect / (1 + server.errors));
    }

    /** Rules 2 to 4 for one server, and its ejection and limit. */
    boolean maySend(PendingRequest pending, Server server) {
        return !server.ejected && !context.limiter.isCrowded(server) && isAllowed(pending, server);
    }

    private boolean isAllowed(PendingRequest pending, Server server) {
        return server.state == ServerState.READY
                && context.slowStart.maySend(server)
                && context.rules.isInScope(pending, server);
    }
}
