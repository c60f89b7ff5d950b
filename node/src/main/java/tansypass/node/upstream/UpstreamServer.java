package tansypass.node.upstream;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import tansypass.balancer.AttemptResult;
import tansypass.balancer.ServerState;
import tansypass.node.endpoint.EndpointList;

/** One server of the pool: its address, its idle connections and the attempts that wait for a connection. */
final class UpstreamServer {
    private final EventLoop loop;
    private final long idleTimeoutNanos;
    private final long quarantineNanos;
    /** The idle connections, the most recently used one first. */
    private final Deque<UpstreamConnection> idleConnections = new ArrayDeque<>();

    private final Deque<UpstreamAttempt> waitingAttempts = new ArrayDeque<>();
    private InetSocketAddress address;
    private long bootMs;
    private boolean removed;
    private boolean draining;
    /** Incremented when the server moves or restarts. A connection of an earlier generation is not reused. */
    private int generation;

    /** The number of connects in progress of the current generation. */
    private int pendingConnects;

    /** Creates a server without an address, which {@link #update} must set before the server is used. */
    UpstreamServer(EventLoop loop, long idleTimeoutNanos, long quarantineNanos) {
        this.loop = loop;
        this.idleTimeoutNanos = idleTimeoutNanos;
        this.quarantineNanos = quarantineNanos;
    }

    /** Returns the event loop of all connections to the server. */
    EventLoop loop() {
        return loop;
    }

    /** Returns the time for which an idle connection may be kept, in nanoseconds. */
    long idleTimeoutNanos() {
        return idleTimeoutNanos;
    }

    /** Returns the time after a response for which its connection is not reused, in nanoseconds. */
    long quarantineNanos() {
        return quarantineNanos;
    }

    /** Returns the address of the server. */
    InetSocketAddress address() {
        return address;
    }

    /** Returns whether the server has been removed from the endpoint list or the pool has been closed. */
    boolean isRemoved() {
        return removed;
    }

    /** Returns whether the server accepts no new requests. */
    boolean isDraining() {
        return draining;
    }

    /** Marks the server as removed. Its connections are then closed after their attempts. */
    void markRemoved() {
        removed = true;
    }

    /** Returns whether a connection of this generation goes to the server's current address and process. */
    boolean isCurrent(int connectionGeneration) {
        return connectionGeneration == generation;
    }

    /**
     * Applies the server's entry in the endpoint list. If the server has moved or restarted, its idle connections are
     * closed and its pending connects are no longer counted.
     *
     * @return whether the server has moved or restarted; the waiting attempts then need new connects
     */
    boolean update(EndpointList.Endpoint endpoint) {
        boolean moved = address != null && !address.equals(endpoint.address());
        boolean restarted = endpoint.bootMs() > bootMs;
        address = endpoint.address();
        bootMs = endpoint.bootMs();
        removed = endpoint.state() == ServerState.GONE;
        draining = endpoint.state() == ServerState.DRAINING;
        if (!moved && !restarted) {
            return false;
        }
        generation++;
        pendingConnects = 0;
        closeIdleConnections();
        return true;
    }

    /** Counts a connect as pending, and returns the generation that it belongs to. */
    int onConnectStarted() {
        pendingConnects++;
        return generation;
    }

    /** Counts a connect as no longer pending, because it succeeded. */
    void onConnectSucceeded(int connectGeneration) {
        if (connectGeneration == generation) {
            pendingConnects--;
        }
    }

    /**
     * Counts a connect as no longer pending, because it failed. Each connect serves one waiting attempt; if more
     * attempts are waiting than connects are pending, the first attempt in the queue fails.
     */
    void onConnectFailed(int connectGeneration) {
        if (connectGeneration != generation) {
            return;
        }
        pendingConnects--;
        if (waitingAttempts.size() > pendingConnects) {
            waitingAttempts.poll().end(AttemptResult.CONNECT_FAILED, null);
        }
    }

    /** Returns the number of attempts that wait for a connection. */
    int waitingAttemptCount() {
        return waitingAttempts.size();
    }

    /** Returns whether an attempt waits for a connection. */
    boolean hasWaitingAttempts() {
        return !waitingAttempts.isEmpty();
    }

    /** Adds an attempt at the end of the queue. */
    void addWaiting(UpstreamAttempt attempt) {
        waitingAttempts.add(attempt);
    }

    /** Removes an attempt from the queue, and returns whether it was queued. */
    boolean removeWaiting(UpstreamAttempt attempt) {
        return waitingAttempts.remove(attempt);
    }

    /** Removes and returns the attempt that has waited longest. An attempt must be waiting. */
    UpstreamAttempt removeFirstWaiting() {
        return waitingAttempts.remove();
    }

    /**
     * Ends the waiting attempts that must not be sent any more. Their timers do the same, but after a stall the event
     * loop polls its sockets before it runs timers, and could first assign a connection to such an attempt.
     */
    void endExpiredAttempts() {
        if (waitingAttempts.isEmpty()) {
            return;
        }
        long nowNanos = System.nanoTime();
        for (UpstreamAttempt attempt : new ArrayList<>(waitingAttempts)) {
            if (attempt.hasExpired(nowNanos)) {
                attempt.failIfWaiting();
            }
        }
    }

    /** Ends all waiting attempts as NOT_SENT, because a draining or removed server must get no new request. */
    void endWaitingAttempts() {
        for (UpstreamAttempt next = waitingAttempts.poll(); next != null; next = waitingAttempts.poll()) {
            next.end(AttemptResult.NOT_SENT, null);
        }
    }

    /** Adds a connection that has just completed a response or been established. */
    void addIdle(UpstreamConnection connection) {
        idleConnections.push(connection);
        scheduleDispatch();
    }

    /** Removes a connection from the idle ones, if it is one of them. */
    void removeIdle(UpstreamConnection connection) {
        idleConnections.remove(connection);
    }

    /** Removes and returns the most recently used idle connection that is out of quarantine; null if there is none. */
    UpstreamConnection takeIdleOrNull() {
        long nowNanos = System.nanoTime();
        while (!idleConnections.isEmpty() && !idleConnections.peek().isUsable(nowNanos)) {
            idleConnections.poll().close();
        }
        for (UpstreamConnection connection : idleConnections) {
            if (connection.isReusable(nowNanos)) {
                idleConnections.remove(connection);
                return connection;
            }
        }
        return null;
    }

    /** Returns the least recently used idle connection; null if there is none. */
    UpstreamConnection oldestIdleOrNull() {
        return idleConnections.peekLast();
    }

    /** Closes the least recently used idle connection. There must be an idle connection. */
    void closeOldestIdle() {
        idleConnections.pollLast().close();
    }

    /** Closes all idle connections. */
    void closeIdleConnections() {
        Collection<UpstreamConnection> idle = new ArrayList<>(idleConnections);
        idleConnections.clear();
        idle.forEach(UpstreamConnection::close);
    }

    /** Closes the idle connections whose idle timeout has expired. */
    void closeExpiredConnections(long nowNanos) {
        while (!idleConnections.isEmpty()
                && nowNanos - idleConnections.peekLast().idleSinceNanos() > idleTimeoutNanos) {
            closeOldestIdle();
        }
    }

    /** Schedules the dispatch of waiting attempts on idle connections, for the time when the connections have left
     * quarantine. */
    void scheduleDispatch() {
        if (!idleConnections.isEmpty() && !waitingAttempts.isEmpty()) {
            loop.schedule(this::dispatchWaitingAttempts, quarantineNanos, TimeUnit.NANOSECONDS);
        }
    }

    private void dispatchWaitingAttempts() {
        endExpiredAttempts();
        UpstreamConnection connection = waitingAttempts.isEmpty() ? null : takeIdleOrNull();
        while (connection != null) {
            connection.send(waitingAttempts.poll());
            connection = waitingAttempts.isEmpty() ? null : takeIdleOrNull();
        }
    }
}
