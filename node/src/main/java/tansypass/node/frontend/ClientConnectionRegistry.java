package tansypass.node.frontend;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import tansypass.node.admin.CloseReason;
import tansypass.node.http.BadRequestException;
import tansypass.node.lifecycle.DescriptorLimiter;
import tansypass.node.lifecycle.Lifecycle;

/**
 * The open client connections. A periodic sweep closes those whose request does not arrive in time, and idle ones
 * while the node is draining. The registry owns the timer of the sweep. Used on the event loop only.
 */
final class ClientConnectionRegistry {
    private static final long SWEEP_INTERVAL_MS = 100;
    /**
     * The time for which the clients' load balancer may send requests after the node has stopped being ready: up to
     * 0.1 s until its next readiness check, 0.2 s more, and a reserve. Idle connections are closed after this time,
     * and their clients reconnect to another node.
     */
    private static final long LOAD_BALANCER_REACTION_MS = 400;

    private final Lifecycle lifecycle;
    private final DescriptorLimiter descriptors;
    /** The open connections, the least recently used one first. */
    private final Set<ClientConnection> connections = new LinkedHashSet<>();

    private final ScheduledFuture<?> sweepTimer;
    /**
     * The time at which a sweep first found the node draining, by {@link System#nanoTime}; 0 if it is not draining.
     */
    private long drainingSinceNs;
    /** True if new connections get time for their first request before they are closed as idle. */
    private boolean awaitingFirstRequests = true;

    /** Creates an empty registry and starts its sweeps. */
    ClientConnectionRegistry(EventLoop loop, Lifecycle lifecycle, DescriptorLimiter descriptors) {
        this.lifecycle = lifecycle;
        this.descriptors = descriptors;
        sweepTimer =
                loop.scheduleWithFixedDelay(this::sweep, SWEEP_INTERVAL_MS, SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Stops the sweeps. */
    void close() {
        sweepTimer.cancel(false);
    }

    /** Adds a connection, which the descriptor limiter must have counted already. */
    void add(ClientConnection connection) {
        connections.add(connection);
    }

    /**
     * Removes a connection from the registry and from the descriptor limiter's count. Has no effect on a connection
     * that has been removed already.
     */
    void remove(ClientConnection connection) {
        if (connections.remove(connection)) {
            descriptors.removeClient();
        }
    }

    /** Makes the connection the most recently used one. */
    void markRecentlyUsed(ClientConnection connection) {
        connections.remove(connection);
        connections.add(connection);
    }

    /** Returns whether no connection is open. */
    boolean isEmpty() {
        return connections.isEmpty();
    }

    /**
     * Ends the grace period for the first request of new connections, and sweeps at once. A draining node then closes
     * new connections without a request like other idle ones.
     */
    void stopAwaitingFirstRequests() {
        awaitingFirstRequests = false;
        sweep();
    }

    /**
     * Closes the connections that have timed out. Clients may connect and never send a complete request, and web
     * servers may not read one in time.
     */
    private void sweep() {
        long nowNs = System.nanoTime();
        boolean closingIdle = shouldCloseIdle(nowNs);
        for (ClientConnection connection : new ArrayList<>(connections)) {
            if (connection.timeouts().isOverdue(nowNs)) {
                connection.reject(
                        CloseReason.REQUEST_TIMEOUT,
                        new BadRequestException(HttpResponseStatus.REQUEST_TIMEOUT, "no whole request"));
            } else if (connection.timeouts().isOutOfTime(nowNs)) {
                connection.reject(
                        CloseReason.OUT_OF_TIME,
                        new BadRequestException(HttpResponseStatus.GATEWAY_TIMEOUT, "out of time"));
            } else if (closingIdle
                    && (awaitingFirstRequests
                            ? connection.timeouts().isIdleAfterGrace(nowNs)
                            : connection.timeouts().isIdle())) {
                connection.close(CloseReason.DRAINED);
            }
        }
    }

    private boolean shouldCloseIdle(long nowNs) {
        if (!lifecycle.isDraining()) {
            drainingSinceNs = 0;
            return false;
        }
        if (drainingSinceNs == 0) {
            drainingSinceNs = nowNs;
        }
        return drainingSinceNs != 0
                && nowNs - drainingSinceNs >= TimeUnit.MILLISECONDS.toNanos(LOAD_BALANCER_REACTION_MS);
    }

    /**
     * Closes one connection to free its descriptor: the least recently used idle one or, if none is idle, the one
     * whose request is delayed most. A connection with a complete request is never closed for this reason.
     *
     * @return false if there is no connection that can be closed
     */
    boolean reclaimOne() {
        long nowNs = System.nanoTime();
        ClientConnection mostDelayed = null;
        for (ClientConnection connection : connections) {
            if (connection.timeouts().isIdleAfterGrace(nowNs)) {
                closeAndRemove(connection);
                return true;
            }
            if (connection.timeouts().canBeReclaimed(nowNs)
                    && (mostDelayed == null
                            || connection.timeouts().delayNs(nowNs)
                                    > mostDelayed.timeouts().delayNs(nowNs))) {
                mostDelayed = connection;
            }
        }
        if (mostDelayed == null) {
            return false;
        }
        closeAndRemove(mostDelayed);
        return true;
    }

    /**
     * Closes a connection and stops counting it at once. The channel reports its end only later in the same iteration
     * of the event loop. Until then, each further connection accepted in this iteration would choose the same
     * connection again.
     */
    private void closeAndRemove(ClientConnection connection) {
        remove(connection);
        connection.close(CloseReason.RECLAIMED);
    }
}
