package tansypass.node.balancing;

import io.netty.channel.EventLoop;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import tansypass.balancer.ServerEntry;
import tansypass.balancer.UpdateKind;
import tansypass.node.configuration.NodeConfig;
import tansypass.node.discovery.EndpointWatch;
import tansypass.node.discovery.ExponentialBackoff;
import tansypass.node.endpoint.EndpointList;
import tansypass.node.logging.LogEvent;
import tansypass.node.upstream.UpstreamConnectionPool;

/**
 * Passes endpoint lists to the connection pool and, converted to {@link ServerEntry} values, to the load balancer. Owns
 * the watch of the endpoint list and the backoff between attempts to open it. All methods must be called on the event
 * loop.
 */
public final class EndpointListAdapter implements EndpointWatch.Listener {
    /** Longest backoff before a failed watch is opened again, in milliseconds and before jitter. */
    public static final long MAX_BACKOFF_MS = 200;

    private static final Logger LOG = System.getLogger(EndpointListAdapter.class.getName());

    /**
     * The first backoff, in milliseconds and before jitter. A change takes effect as soon as the discovery agent has
     * it, even if the watch is broken at that time. A gap in the watch must therefore be short compared to the shortest
     * grace period of a draining server.
     */
    private static final long MIN_BACKOFF_MS = 50;
    /**
     * Largest number of zones that are told apart by name. When it is reached, each server of a further zone counts as
     * a zone of its own.
     */
    private static final int MAX_NAMED_ZONES = 1_024;

    private static final long US_PER_MS = 1_000;

    private final NodeConfig config;
    private final BalancerExecutor balancer;
    private final UpstreamConnectionPool pool;
    private final EndpointWatch watch;
    private final ExponentialBackoff backoff;
    private final Map<String, Integer> zoneIndexes = new HashMap<>();
    /** False during warm-up, in which the endpoint list is fixed. */
    private boolean watchEnabled = true;
    /** Reason of the latest watch failure; null if the watch has not failed since the latest endpoint list. */
    private String lastFailureReason;

    /** Creates an adapter that has not applied an endpoint list or opened a watch yet. */
    public EndpointListAdapter(
            NodeConfig config, EventLoop loop, BalancerExecutor balancer, UpstreamConnectionPool pool) {
        this.config = config;
        this.balancer = balancer;
        this.pool = pool;
        config.settings().zones().forEach(zone -> zoneIndexes.put(zone, zoneIndexes.size()));
        if (zoneIndexes.isEmpty()) {
            // If the settings name no zones, the node's own zone has the empty name.
            zoneIndexes.put("", config.settings().localZone());
        }
        backoff = new ExponentialBackoff(config.seed(), MIN_BACKOFF_MS, MAX_BACKOFF_MS);
        watch = new EndpointWatch(
                loop,
                config.discovery(),
                config.initialEndpoints().revision(),
                EndpointWatch.IDLE_TIMEOUT_MS,
                config.settings().listPolling(),
                this);
    }

    /**
     * Applies the configuration's endpoint list. Also opens the watch, unless the load balancer polls the endpoint list
     * and opens the watch when it needs one.
     */
    public void start() {
        apply(UpdateKind.CACHED, config.initialEndpoints());
        if (!config.settings().listPolling()) {
            watch.subscribe();
        }
    }

    /** Applies the configuration's endpoint list, and disables the watch. */
    public void startWithoutWatch() {
        watchEnabled = false;
        apply(UpdateKind.CACHED, config.initialEndpoints());
    }

    /** Opens the watch. A watch that is open already is replaced. */
    public void subscribe() {
        if (watchEnabled) {
            watch.subscribe();
        }
    }

    /** Changes the address of the discovery agent. Null means no agent: the endpoint list no longer changes. */
    public void setDiscoveryAddress(InetSocketAddress address) {
        watch.changeAddress(address);
    }

    /** Closes the watch. */
    public void close() {
        watch.close();
    }

    @Override
    public void onEndpointList(EndpointList list) {
        backoff.reset();
        lastFailureReason = null;
        apply(list.isSnapshot() ? UpdateKind.SNAPSHOT : UpdateKind.DELTA, list);
    }

    @Override
    public void onWatchFailed(String reason) {
        if (!reason.equals(lastFailureReason)) {
            // While discovery is down, the watch fails several times a second. Failures in a row with the same reason
            // are logged once.
            LOG.log(Level.INFO, LogEvent.DISCOVERY_WATCH_FAILED.line(reason));
            lastFailureReason = reason;
        }
        balancer.execute(b -> b.onDiscoveryFailure(balancer.nowUs()));
        if (!config.settings().listPolling()) {
            watch.subscribeAfter(backoff.nextDelayMs());
        }
    }

    private void apply(UpdateKind kind, EndpointList list) {
        List<ServerEntry> entries = new ArrayList<>();
        for (EndpointList.Endpoint endpoint : list.endpoints()) {
            entries.add(toServerEntry(endpoint));
        }
        balancer.execute(b -> {
            pool.update(list);
            b.onEndpointUpdate(balancer.nowUs(), kind, entries);
        });
    }

    private ServerEntry toServerEntry(EndpointList.Endpoint endpoint) {
        return new ServerEntry(
                endpoint.id(),
                getZoneIndex(endpoint),
                endpoint.cell(),
                endpoint.state(),
                endpoint.weight(),
                US_PER_MS * endpoint.bootMs());
    }

    /**
     * Returns the index of a server's zone. A zone that the settings don't name gets an index too, because servers
     * deduplicate retries only within their zone.
     */
    private int getZoneIndex(EndpointList.Endpoint endpoint) {
        if (zoneIndexes.size() >= MAX_NAMED_ZONES && !zoneIndexes.containsKey(endpoint.zone())) {
            return -1 - (endpoint.id().hashCode() & Integer.MAX_VALUE);
        }
        return zoneIndexes.computeIfAbsent(endpoint.zone(), name -> zoneIndexes.size());
    }
}
