package tansypass.simulator;

import java.util.List;
import tansypass.balancer.AttemptOutcome;
import tansypass.balancer.AttemptResult;
import tansypass.balancer.BalancerRequest;
import tansypass.balancer.LoadBalancer;
import tansypass.balancer.ServerEntry;
import tansypass.balancer.UpdateKind;

/**
 * Translates events for one instance into calls of its balancer. Each event is parsed completely before the call, so
 * that a malformed one has no effect. Not thread-safe.
 */
final class EventTranslator {
    /** A request without a tenant has this name, or none. */
    private static final String NO_TENANT_NAME = "0";

    private static final int NO_TENANT = -1;

    private final EventLineReader line;
    private final RosterTable rosters;

    EventTranslator(EventLineReader line, RosterTable rosters) {
        this.line = line;
        this.rosters = rosters;
    }

    /**
     * Returns the call for the current event.
     *
     * @param nowUs time of the event's batch, microseconds
     * @throws ProtocolException if the event is malformed
     */
    Runnable translate(SimulatedInstance instance, long nowUs) throws ProtocolException {
        LoadBalancer balancer = instance.balancer();
        if (line.isEvent("resolved")) {
            AttemptOutcome outcome = parseOutcome();
            return () -> balancer.onOutcome(nowUs, outcome);
        }
        if (line.isEvent("work_item")) {
            BalancerRequest request = parseRequest(instance);
            return () -> balancer.onRequest(nowUs, request);
        }
        if (line.isEvent("bell")) {
            return () -> balancer.onTimer(nowUs);
        }
        if (line.isEvent("topology")) {
            return translateUpdate(instance, nowUs);
        }
        if (line.isEvent("client_gone")) {
            long id = line.requireId("handle");
            return () -> balancer.onClientDisconnect(nowUs, id);
        }
        if (line.isEvent("first_byte")) {
            long id = line.requireId("handle");
            int attempt = (int) line.requireLong("seqNo");
            return () -> balancer.onResponseStarted(nowUs, id, attempt);
        }
        if (line.isEvent("echo")) {
            return translateProbe(balancer, nowUs);
        }
        if (line.isEvent("memo")) {
            return () -> {};
        }
        throw line.malformed("unknown event " + line.name());
    }

    private AttemptOutcome parseOutcome() throws ProtocolException {
        return new AttemptOutcome(
                line.requireId("handle"),
                (int) line.requireLong("seqNo"),
                ResultCode.parse(line),
                line.getLong("latencyUs", 0),
                line.getFlag("ended"),
                line.getDoubles("metrics"));
    }

    private BalancerRequest parseRequest(SimulatedInstance instance) throws ProtocolException {
        String tenant = line.getText("realm", NO_TENANT_NAME);
        boolean hasTenant = !tenant.equals(NO_TENANT_NAME);
        long id = line.requireId("handle");
        String requestClass = line.requireText("lane");
        return new BalancerRequest(
                id,
                requireKnown("lane", requestClass, instance.findClass(requestClass)),
                hasTenant ? requireKnown("realm", tenant, instance.findTenant(tenant)) : NO_TENANT,
                line.requireLong("patienceLeftUs"),
                line.getLong("workUs", 0),
                line.getFlag("resent"));
    }

    private int requireKnown(String field, String name, int index) throws ProtocolException {
        if (index == SimulatedInstance.NOT_FOUND) {
            throw line.malformed(field, "is not in the settings: " + name);
        }
        return index;
    }

    private Runnable translateProbe(LoadBalancer balancer, long nowUs) throws ProtocolException {
        String server = line.requireText("server");
        AttemptResult result = ResultCode.parse(line);
        long latencyUs = line.getLong("latencyUs", 0);
        double[] loadReport = line.getDoubles("metrics");
        return () -> balancer.onProbe(nowUs, server, result, latencyUs, loadReport);
    }

    private Runnable translateUpdate(SimulatedInstance instance, long nowUs) throws ProtocolException {
        LoadBalancer balancer = instance.balancer();
        String kind = line.requireText("kind");
        if (kind.equals("broken")) {
            return () -> balancer.onDiscoveryFailure(nowUs);
        }
        UpdateKind updateKind = switch (kind) {
            case "patch" -> UpdateKind.DELTA;
            case "whole" -> UpdateKind.SNAPSHOT;
            case "stale_copy" -> UpdateKind.CACHED;
            default -> throw line.malformed("kind", "is unknown: " + kind);
        };
        List<ServerEntry> entries = rosters.findEntries(line, instance);
        return () -> balancer.onEndpointUpdate(nowUs, updateKind, entries);
    }
}
