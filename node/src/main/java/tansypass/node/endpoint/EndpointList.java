package tansypass.node.endpoint;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import tansypass.balancer.ServerState;
import tansypass.node.logging.LogEvent;

/**
 * A list of endpoints as discovery gives it: a snapshot of all of them, or the changes since the previous revision.
 *
 * @param revision the revision of the endpoint list after this event
 * @param isSnapshot whether this is the complete endpoint list rather than changes to it
 * @param endpoints each id once
 */
public record EndpointList(long revision, boolean isSnapshot, List<Endpoint> endpoints) {
    private static final Logger LOG = System.getLogger(EndpointList.class.getName());

    /**
     * One web server of the endpoint list.
     *
     * @param zone empty if discovery gives none
     * @param weight relative capacity
     * @param bootMs when the server last started, Unix time in milliseconds; 0 if unknown
     */
    public record Endpoint(
            String id,
            InetSocketAddress address,
            String zone,
            int cell,
            ServerState state,
            double weight,
            long bootMs) {}

    /**
     * Returns a list of entries of which several may have the same id: the last one counts, at the first one's place,
     * and a contradiction is logged.
     */
    public static EndpointList ofEntries(long revision, boolean isSnapshot, List<Endpoint> entries) {
        Map<String, Endpoint> endpoints = new LinkedHashMap<>();
        String conflictingId = null;
        for (Endpoint entry : entries) {
            Endpoint previous = endpoints.put(entry.id(), entry);
            if (previous != null && !previous.equals(entry)) {
                conflictingId = entry.id();
            }
        }
        if (conflictingId != null) {
            LOG.log(Level.WARNING, LogEvent.CONFLICTING_ENDPOINTS.line(revision, conflictingId));
        }
        return new EndpointList(revision, isSnapshot, List.copyOf(endpoints.values()));
    }
}
