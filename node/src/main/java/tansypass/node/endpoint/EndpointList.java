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
 * A list of endpoints from discovery: either a snapshot of all endpoints, or the changes since the previous revision.
 *
 * @param revision the revision of the endpoint list after this event
 * @param isSnapshot true for a snapshot of all endpoints, false for changes
 * @param endpoints the endpoints, of which no two have the same id
 */
public record EndpointList(long revision, boolean isSnapshot, List<Endpoint> endpoints) {
    private static final Logger LOG = System.getLogger(EndpointList.class.getName());

    /**
     * One web server of the endpoint list.
     *
     * @param zone the name of the server's zone; empty if discovery does not state one
     * @param weight the server's capacity relative to other servers
     * @param bootMs the time at which the server last started, in milliseconds of Unix time; 0 if unknown
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
     * Creates a list from entries of which several may have the same id. Of these, the last entry is used, at the
     * position of the first one. If they differ, that is logged.
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
