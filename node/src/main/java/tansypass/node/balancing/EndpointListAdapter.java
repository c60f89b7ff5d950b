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
 * Brings endpoint lists to the connection pool and, as {@link ServerEntry} values, to the decision module. It
 * owns the watch and the backoff between its retries. All methods are to be called on the event loop.
 */
public final class EndpointListAdapter implements EndpointWatch.Listener {
    /** Longest backoff before a broken watch is opened again, in milliseconds and before jitter. */
    public static final long MAX_BACKOFF_MS = 200;

    private static final Logger LOG = System.getLogger(EndpointListAdapter.class.getName());

    /**
     * The first backoff, in milliseconds and before jitter. A change is in force as soon as the agent has it, whether
     * it was watched or not, so that a gap in the watch has to be short compared to the shortest grace period.
     */
    private static final long MIN_BACKOFF_MS = 50;
    /** Zones distinguished by name; servers of further zones are each in a zone of their own. */
    private static final int MAX_NAMED_ZONES = 1_024;

    private static final long US_PER_MS = 1_000;

    private final NodeConfig config;
    private final BalancerExecutor balancer;
    private final UpstreamConnectionPool pool;
    private final EndpointWatch watch;
    private final ExponentialBackoff backoff;
    private final Map<String, Integer> zoneIndexes = new HashMap<>();
    /** False for the sender of a warm-up, whose endpoint list is fixed. */
    private boolean watchEnabled = true;
    /** The reason of the last failure since the last endpoint list, or null if there was none. */
    private String lastFailure;

    /** Creates a translator that has applied no endpoint list and opened no watch. */
    public EndpointListAdapter(
            NodeConfig config, EventLoop loop, BalancerExecutor balancer, UpstreamConnectionPool pool) {
        this.config = config;
        this.balancer = balancer;
        this.pool = pool;
        config.settings().zones().forEach(zone -> zoneIndexes.put(zone, zoneIndexes.size()));
        if (zoneIndexes.isEmpty()) {
            // The node's own zone, which has no name then.
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

    /** Applies the configuration's endpoint list, and opens the watch unless the module requests it when needed. */
    public void start() {
        apply(UpdateKind.CACHED, config.initialEndpoints());
        if (!config.settings().listPolling()) {
            watch.subscribe();
        }
    }

    /** Applies the configuration's endpoint list and opens no watch, now or later. */
    public void startWithoutWatch() {
        watchEnabled = false;
        apply(UpdateKind.CACHED, config.initialEndpoints());
    }

    /** Opens the watch; one that is open is replaced. */
    public void subscribe() {
        if (watchEnabled) {
            watch.subscribe();
        }
    }

    /** Changes the discovery agent's address; null if there is none, and the endpoint list no longer changes. */
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
        lastFailure = null;
        apply(list.isSnapshot() ? UpdateKind.SNAPSHOT : UpdateKind.DELTA, list);
    }

    @Override
    public void onWatchFailed(String reason) {
        if (!reason.equals(lastFailure)) {
            // Each reason is logged once: while discovery is down the watch fails several times a second.
            LOG.log(Level.INFO, LogEvent.DISCOVERY_WATCH_FAILED.line(reason));
            lastFailure = reason;
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
                zoneIndex(endpoint),
                endpoint.cell(),
                endpoint.state(),
                endpoint.weight(),
                US_PER_MS * endpoint.bootMs());
    }

    /** Returns the index of a server's zone. Zones that the settings don't name are distinguished too: servers
     * deduplicate retries within a zone only. */
    private int zoneIndex(EndpointList.Endpoint endpoint) {
        if (zoneIndexes.size() >= MAX_NAMED_ZONES && !zoneIndexes.containsKey(endpoint.zone())) {
            return -1 - (endpoint.id().hashCode() & Integer.MAX_VALUE);
        }
        return zoneIndexes.computeIfAbsent(endpoint.zone(), name -> zoneIndexes.size());
    }
}
