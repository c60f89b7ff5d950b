package tansypass.node.discovery;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import tansypass.node.endpoint.EndpointList;

/**
 * The watch on the endpoint list. It subscribes to the discovery agent, decides from which revision on and how long to
 * wait for the response, and owns the timer of the next subscription. It has at most one
 * {@link EndpointWatchConnection} at a time, whose failure it reports once. All methods must be called on its event
 * loop, on which the listener is called too.
 */
public final class EndpointWatch {
    /**
     * The time without a complete line after which a watch fails, in milliseconds. The agent sends a line every 2 s. If
     * a stalled watch misses the start of a drain, the drain takes effect 6 s after the last line; the timeout is short
     * enough for two stalled watches in a row to fail and a third one to be opened before that.
     */
    public static final long IDLE_TIMEOUT_MS = 2_500;
    /**
     * The extension of the response timeout for each consecutive request that has timed out without a response. It
     * applies where nodes poll the endpoint list: discovery is then one service that queues the requests of all nodes.
     * A request that times out loses its place in the queue and is sent again; with a fixed timeout below the queueing
     * time, no node would ever get a response.
     */
    private static final long TIMEOUT_EXTENSION_MS = 750;

    /** Receives the events of a watch, on its event loop. */
    public interface Listener {
        /** Called for each event, in the order of arrival. */
        void onEndpointList(EndpointList list);

        /** Called once when the watch could not be opened or has ended. It does not subscribe again by itself. */
        void onWatchFailed(String reason);
    }

    private final EventLoop loop;
    private final Listener listener;
    private final long idleTimeoutMs;
    private final boolean requestsMayQueue;
    private InetSocketAddress address;
    private long revision;
    /** The open connection, or null. */
    private EndpointWatchConnection connection;

    private boolean subscribed;
    /** The number of consecutive requests that timed out without a response. */
    private int unansweredRequests;

    private ScheduledFuture<?> subscriptionTimer;

    /**
     * Creates a watch that is not open yet.
     *
     * @param address the address of the discovery agent; null if there is none, and the endpoint list never changes
     * @param revision the revision of the endpoint list that is known already
     * @param idleTimeoutMs the time without a complete line after which a watch fails, in milliseconds
     * @param requestsMayQueue whether discovery may queue requests, because nodes poll it
     */
    public EndpointWatch(
            EventLoop loop,
            InetSocketAddress address,
            long revision,
            long idleTimeoutMs,
            boolean requestsMayQueue,
            Listener listener) {
        this.loop = loop;
        this.address = address;
        this.revision = revision;
        this.idleTimeoutMs = idleTimeoutMs;
        this.requestsMayQueue = requestsMayQueue;
        this.listener = listener;
    }

    /** Opens a watch from the latest known revision on. Replaces a watch that is still open. */
    public void subscribe() {
        close();
        subscribed = true;
        if (address != null) {
            connection = new EndpointWatchConnection(
                    loop, address, revision, idleTimeoutMs, responseTimeoutMs(), new ConnectionListener());
            connection.open();
        }
    }

    /** Closes the watch and subscribes again after a delay, unless {@link #subscribe} is called earlier. */
    public void subscribeAfter(long delayMs) {
        close();
        subscriptionTimer = loop.schedule(this::subscribe, delayMs, TimeUnit.MILLISECONDS);
    }

    /** Changes the agent's address, null for none. If the watch has been subscribed before, it is reopened at once. */
    public void changeAddress(InetSocketAddress newAddress) {
        if (!Objects.equals(newAddress, address)) {
            address = newAddress;
            if (subscribed) {
                subscribe();
            }
        }
    }

    /** Closes the watch and cancels a pending subscription. The listener is not called. */
    public void close() {
        if (subscriptionTimer != null) {
            subscriptionTimer.cancel(false);
            subscriptionTimer = null;
        }
        if (connection != null) {
            connection.close();
            connection = null;
        }
    }

    private long responseTimeoutMs() {
        long extensionMs = requestsMayQueue ? unansweredRequests * TIMEOUT_EXTENSION_MS : 0;
        return Math.min(idleTimeoutMs, EndpointWatchConnection.RESPONSE_TIMEOUT_MS + extensionMs);
    }

    /** Receives the events of the open connection. */
    private final class ConnectionListener implements EndpointWatchConnection.Listener {
        @Override
        public void onResponseStarted() {
            unansweredRequests = 0;
        }

        @Override
        public void onResponseTimeout() {
            unansweredRequests++;
        }

        @Override
        public void onEndpointList(EndpointList list) {
            revision = list.revision();
            listener.onEndpointList(list);
        }

        @Override
        public void onFailed(String reason) {
            connection = null;
            listener.onWatchFailed(reason);
        }
    }
}
