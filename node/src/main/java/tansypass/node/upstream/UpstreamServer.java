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

/** One server of the pool: its address, its idle connections and the attempts that wait for one. */
final class UpstreamServer {
    private final EventLoop loop;
    private final long idleTimeoutNanos;
    private final long quarantineNanos;
    /** Most recently used first. */
    private final Deque<UpstreamConnection> idleConnections = new ArrayDeque<>();

    private final Deque<UpstreamAttempt> waitingAttempts = new ArrayDeque<>();
    private InetSocketAddress address;
    private long bootMs;
    private boolean removed;
    private boolean draining;
    /** Counts addresses and processes: a connection of an earlier generation is not reused. */
    private int generation;

    /** Connects in progress of the current generation. */
    private int pendingConnects;

    /** Creates a server without an address: {@link #update} has to follow. */
    UpstreamServer(EventLoop loop, long idleTimeoutNanos, long quarantineNanos) {
        this.loop = loop;
        this.idleTimeoutNanos = idleTimeoutNanos;
        this.quarantineNanos = quarantineNanos;
    }

    /** Returns the event loop of all its connections. */
    EventLoop loop() {
        return loop;
    }

    /** Returns for how many nanoseconds an idle connection may be kept. */
    long idleTimeoutNanos() {
        return idleTimeoutNanos;
    }

    /** Returns the nanoseconds from a response until its connection may be used again. */
    long quarantineNanos() {
        return quarantineNanos;
    }

    /** Returns the address to connect to. */
    InetSocketAddress address() {
        return address;
    }

    /** Returns whether the server was removed from the endpoint list, or the pool has been closed. */
    boolean isRemoved() {
        return removed;
    }

    /** Returns whether the server accepts no new requests. */
    boolean isDraining() {
        return draining;
    }

    /** Marks the server as removed, so that its connections are closed after their attempts. */
    void markRemoved() {
        removed = true;
    }

    /** Returns whether a connection of this generation was made to the present address and process. */
    boolean isCurrent(int connectionGeneration) {
        return connectionGeneration == generation;
    }

    /**
     * Applies the server's entry in the endpoint list. If the server has moved or restarted, its idle
     * connections are closed and its pending connects no longer count.
     *
     * @return whether it has moved or restarted, so that waiting attempts need new connects
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

    /** Counts a connect and returns the generation that it belongs to. */
    int startConnect() {
        pendingConnects++;
        return generation;
    }

    /** Counts a connect as successful. */
    void completeConnect(int connectGeneration) {
        if (connectGeneration == generation) {
            pendingConnects--;
        }
    }

    /**
     * Counts a connect as failed. Each connect serves one waiting attempt: the first one fails with it, unless
     * there are enough other connects pending.
     */
    void failConnect(int connectGeneration) {
        if (connectGeneration != generation) {
            return;
        }
        pendingConnects--;
        if (waitingAttempts.size() > pendingConnects) {
            waitingAttempts.poll().end(AttemptResult.CONNECT_FAILED, null);
        }
    }

    /** Returns how many attempts wait for a connection. */
    int waitingCount() {
        return waitingAttempts.size();
    }

    /** Returns whether an attempt waits for a connection. */
    boolean hasWaiting() {
        return !waitingAttempts.isEmpty();
    }

    /** Adds an attempt at the end of the queue. */
    void addWaiting(UpstreamAttempt attempt) {
        waitingAttempts.add(attempt);
    }

    /** Removes an attempt from the queue; returns whether it was in it. */
    boolean removeWaiting(UpstreamAttempt attempt) {
        return waitingAttempts.remove(attempt);
    }

    /** Removes and returns the attempt that has waited longest; there has to be one. */
    UpstreamAttempt removeFirstWaiting() {
        return waitingAttempts.remove();
    }

    /**
     * Ends the waiting attempts that must not be sent any more. Their timers do the same, but after a stall the event
     * loop polls its sockets first and could assign a connection to them.
     */
    void endExpired() {
        if (waitingAttempts.isEmpty()) {
            return;
        }
        long nowNanos = System.nanoTime();
        for (UpstreamAttempt attempt : new ArrayList<>(waitingAttempts)) {
            if (attempt.hasExpired(nowNanos)) {
                attempt.failWaiting();
            }
        }
    }

    /** Ends all waiting attempts, none of which was sent: a draining server must get no new request. */
    void endWaiting() {
        for (UpstreamAttempt next = waitingAttempts.poll(); next != null; next = waitingAttempts.poll()) {
            next.end(AttemptResult.NOT_SENT, null);
        }
    }

    /** Adds a connection that has just been used or connected. */
    void addIdle(UpstreamConnection connection) {
        idleConnections.push(connection);
        scheduleDispatch();
    }

    /** Removes a connection if it is among the idle ones. */
    void removeIdle(UpstreamConnection connection) {
        idleConnections.remove(connection);
    }

    /** Removes and returns the most recently used connection that is out of quarantine; null if there is none. */
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

    /** Closes the least recently used idle connection; there has to be one. */
    void closeOldestIdle() {
        idleConnections.pollLast().close();
    }

    /** Closes all idle connections. */
    void closeIdleConnections() {
        Collection<UpstreamConnection> idle = new ArrayList<>(idleConnections);
        idleConnections.clear();
        idle.forEach(UpstreamConnection::close);
    }

    /** Closes the connections whose idle timeout has expired. */
    void closeExpired(long nowNanos) {
        while (!idleConnections.isEmpty()
                && nowNanos - idleConnections.peekLast().idleSinceNanos() > idleTimeoutNanos) {
            closeOldestIdle();
        }
    }

    /** Schedules the use of idle connections for waiting attempts, for when those leave quarantine. */
    void scheduleDispatch() {
        if (!idleConnections.isEmpty() && !waitingAttempts.isEmpty()) {
            loop.schedule(this::dispatchWaiting, quarantineNanos, TimeUnit.NANOSECONDS);
        }
    }

    private void dispatchWaiting() {
        endExpired();
        UpstreamConnection connection = waitingAttempts.isEmpty() ? null : takeIdleOrNull();
        while (connection != null) {
            connection.send(waitingAttempts.poll());
            connection = waitingAttempts.isEmpty() ? null : takeIdleOrNull();
        }
    }
}
