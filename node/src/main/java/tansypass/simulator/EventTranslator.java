package tansypass.simulator;

import java.util.List;
import tansypass.balancer.AttemptOutcome;
import tansypass.balancer.AttemptResult;
import tansypass.balancer.BalancerRequest;
import tansypass.balancer.LoadBalancer;
import tansypass.balancer.ServerEntry;
import tansypass.balancer.UpdateKind;

/**
 * Translates the events for an instance into calls of its load balancer. An event is parsed completely before the call
 * is made, so a malformed event has no effect. Not thread-safe.
 */
final class EventTranslator {
    /** The tenant field of a request without a tenant; the field may also be missing. */
    private static final String NO_TENANT_NAME = "0";

    private static final int NO_TENANT = -1;

    private final EventLineReader reader;
    private final EndpointListTable endpointLists;

    EventTranslator(EventLineReader reader, EndpointListTable endpointLists) {
        this.reader = reader;
        this.endpointLists = endpointLists;
    }

    /**
     * Returns the call that the current event stands for.
     *
     * @param nowUs time of the event's batch, in microseconds
     * @throws ProtocolException if the event is malformed
     */
    Runnable translate(SimulatedInstance instance, long nowUs) throws ProtocolException {
        LoadBalancer balancer = instance.balancer();
        if (reader.isEvent("resolved")) {
            AttemptOutcome outcome = parseOutcome();
            return () -> balancer.onOutcome(nowUs, outcome);
        }
        if (reader.isEvent("work_item")) {
            BalancerRequest request = parseRequest(instance);
            return () -> balancer.onRequest(nowUs, request);
        }
        if (reader.isEvent("bell")) {
            return () -> balancer.onTimer(nowUs);
        }
        if (reader.isEvent("topology")) {
            return translateUpdate(instance, nowUs);
        }
        if (reader.isEvent("client_gone")) {
            long id = reader.requireId("handle");
            return () -> balancer.onClientDisconnect(nowUs, id);
        }
        if (reader.isEvent("first_byte")) {
            long id = reader.requireId("handle");
            int attempt = (int) reader.requireLong("seqNo");
            return () -> balancer.onResponseStarted(nowUs, id, attempt);
        }
        if (reader.isEvent("echo")) {
            return translateProbe(balancer, nowUs);
        }
        if (reader.isEvent("memo")) {
            return () -> {};
        }
        throw reader.newProtocolException("unknown event " + reader.eventName());
    }

    private AttemptOutcome parseOutcome() throws ProtocolException {
        return new AttemptOutcome(
                reader.requireId("handle"),
                (int) reader.requireLong("seqNo"),
                ResultCode.read(reader),
                reader.getLong("latencyUs", 0),
                reader.getFlag("ended"),
                reader.getDoubles("metrics"));
    }

    private BalancerRequest parseRequest(SimulatedInstance instance) throws ProtocolException {
        String tenant = reader.getText("realm", NO_TENANT_NAME);
        boolean hasTenant = !tenant.equals(NO_TENANT_NAME);
        long id = reader.requireId("handle");
        String requestClass = reader.requireText("lane");
        return new BalancerRequest(
                id,
                requireFound("lane", requestClass, instance.findClass(requestClass)),
                hasTenant ? requireFound("realm", tenant, instance.findTenant(tenant)) : NO_TENANT,
                reader.requireLong("patienceLeftUs"),
                reader.getLong("workUs", 0),
                reader.getFlag("resent"));
    }

    private int requireFound(String field, String name, int index) throws ProtocolException {
        if (index == SimulatedInstance.NOT_FOUND) {
            throw reader.newProtocolException(field, "is not in the settings: " + name);
        }
        return index;
    }

    private Runnable translateProbe(LoadBalancer balancer, long nowUs) throws ProtocolException {
        String server = reader.requireText("server");
        AttemptResult result = ResultCode.read(reader);
        long latencyUs = reader.getLong("latencyUs", 0);
        double[] loadReport = reader.getDoubles("metrics");
        return () -> balancer.onProbe(nowUs, server, result, latencyUs, loadReport);
    }

    private Runnable translateUpdate(SimulatedInstance instance, long nowUs) throws ProtocolException {
        LoadBalancer balancer = instance.balancer();
        String kind = reader.requireText("kind");
        if (kind.equals("broken")) {
            return () -> balancer.onDiscoveryFailure(nowUs);
        }
        UpdateKind updateKind = switch (kind) {
            case "patch" -> UpdateKind.DELTA;
            case "whole" -> UpdateKind.SNAPSHOT;
            case "stale_copy" -> UpdateKind.CACHED;
            default -> throw reader.newProtocolException("kind", "is unknown: " + kind);
        };
        List<ServerEntry> entries = endpointLists.requireEntries(reader, instance);
        return () -> balancer.onEndpointUpdate(nowUs, updateKind, entries);
    }
}
