package tansypass.node.discovery;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import tansypass.node.endpoint.EndpointList;

/**
 * The watch on the endpoint list: decides when to subscribe to the discovery agent, from which revision on, and how
 * long to wait for its response. There is at most one {@link EndpointWatchConnection} at a time; its failure is
 * reported once. It owns the timer of the next subscription. All methods have to be called on its event loop, which
 * also runs the listener.
 */
public final class EndpointWatch {
    /**
     * How long a watch may stay idle, in milliseconds. The agent sends a line every 2 s, and a drain that an idle watch
     * missed takes effect 6 s after its last line: this is short enough to detect two such watches in a row and open a
     * third one before that. Bytes that do not complete a line do not count as activity.
     */
    public static final long IDLE_TIMEOUT_MS = 2_500;
    /**
     * Where nodes poll the endpoint list, discovery is one service for all of them that queues their requests. A
     * request that times out loses its place in the queue and is sent again: with a fixed timeout below the queueing
     * time no node would ever get a response. So each consecutive request without a response extends the timeout of
     * the next one by this.
     */
    private static final long QUEUEING_EXTENSION_MS = 750;

    /** Receives the events of a watch, on its event loop. */
    public interface Listener {
        /** Called for each event, in the order of the stream. */
        void onEndpointList(EndpointList list);

        /** Called once when the watch could not be opened or has ended; nothing is retried by itself. */
        void onWatchFailed(String reason);
    }

    private final EventLoop loop;
    private final Listener listener;
    private final long idleTimeoutMs;
    private final boolean requestsMayQueue;
    private InetSocketAddress address;
    private long revision;
    /** Null while there is none. */
    private EndpointWatchConnection connection;

    private boolean subscribed;
    /** Consecutive requests that timed out without a response. */
    private int unansweredRequests;

    private ScheduledFuture<?> retry;

    /**
     * Creates a watch that is not open yet.
     *
     * @param address of the discovery agent, or null if there is none: then the endpoint list never changes
     * @param revision the revision of the endpoint list that is known already
     * @param idleTimeoutMs how long an open watch may stay idle, in milliseconds
     * @param requestsMayQueue whether discovery may queue a request, because nodes poll it
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

    /** Opens a watch from the latest known revision on; replaces one that is still open. */
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
        retry = loop.schedule(this::subscribe, delayMs, TimeUnit.MILLISECONDS);
    }

    /** Changes the agent's address, null for none; a watch that was subscribed is reopened there at once. */
    public void changeAddress(InetSocketAddress newAddress) {
        if (!Objects.equals(newAddress, address)) {
            address = newAddress;
            if (subscribed) {
                subscribe();
            }
        }
    }

    /** Closes the watch and cancels a pending subscription; the listener is not called. */
    public void close() {
        if (retry != null) {
            retry.cancel(false);
            retry = null;
        }
        if (connection != null) {
            connection.close();
            connection = null;
        }
    }

    private long responseTimeoutMs() {
        long extensionMs = requestsMayQueue ? unansweredRequests * QUEUEING_EXTENSION_MS : 0;
        return Math.min(idleTimeoutMs, EndpointWatchConnection.RESPONSE_TIMEOUT_MS + extensionMs);
    }

    /** Follows the one connection that is open. */
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
