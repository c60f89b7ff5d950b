package tansypass.node.lifecycle;

import java.util.function.BooleanSupplier;

/**
 * Counts client and server sockets against the process's limit of file descriptors, and closes idle ones before the
 * system would run out. Used on the node's event loop only.
 */
public final class DescriptorLimiter {
    /**
     * Descriptors not available to sockets: for the runtime's files and selector, the listening socket, discovery, and
     * sockets whose close has not taken effect yet.
     */
    public static final int RESERVED_DESCRIPTORS = 64;
    /** Fewest descriptors with which a process can serve: one connection of each side besides the reserve. */
    public static final int MIN_DESCRIPTORS = RESERVED_DESCRIPTORS + 2;
    /** Clients may use the limit divided by this; the platform's requirement. */
    private static final int CLIENT_DIVISOR = 3;

    private final int maxSockets;
    private final int maxClients;
    private BooleanSupplier closeIdleClient = () -> false;
    private BooleanSupplier closeIdleServer = () -> false;
    private Runnable onCapacityAvailable = () -> {};
    private int clients;
    private int servers;

    /** Creates a limiter for a process with so many file descriptors. */
    public DescriptorLimiter(int limit) {
        maxSockets = Math.max(2, limit - RESERVED_DESCRIPTORS);
        // Under a small limit the reserve is a larger part of it, and servers still need a connection or two.
        maxClients = Math.max(1, Math.min(limit / CLIENT_DIVISOR, maxSockets * 3 / 4));
    }

    /**
     * Sets what the frontend does.
     *
     * @param closeIdle closes one idle client connection and returns whether there was one
     * @param whenCapacityAvailable runs after each closed socket
     */
    public void setClientCallbacks(BooleanSupplier closeIdle, Runnable whenCapacityAvailable) {
        closeIdleClient = closeIdle;
        onCapacityAvailable = whenCapacityAvailable;
    }

    /** Sets what closes one idle connection to a server and returns whether there was one. */
    public void setServerCallback(BooleanSupplier closeIdle) {
        closeIdleServer = closeIdle;
    }

    /** Returns whether another client connection may be accepted. */
    public boolean hasClientCapacity() {
        return clients < maxClients && clients + servers < maxSockets;
    }

    /** Counts an accepted connection. */
    public void addClient() {
        clients++;
    }

    /** Closes idle connections until another client may be accepted; returns whether one may be now. */
    public boolean reclaimClientCapacity() {
        // At the limit for clients, closing a server connection does not help.
        boolean closed = true;
        while (clients >= maxClients && closed) {
            closed = closeIdleClient.getAsBoolean();
        }
        if (clients < maxClients && !hasClientCapacity()) {
            closeIdle();
        }
        return hasClientCapacity();
    }

    /** Subtracts a closed client connection. */
    public void removeClient() {
        clients--;
        onCapacityAvailable.run();
    }

    /** Counts a connection to a server; returns false, without counting it, if there is no capacity for it. */
    public boolean addServer() {
        if (clients + servers >= maxSockets && !closeIdle()) {
            return false;
        }
        servers++;
        return true;
    }

    /** Subtracts a closed connection to a server. */
    public void removeServer() {
        servers--;
        onCapacityAvailable.run();
    }

    /**
     * Closes one idle connection and returns whether there was one. Server connections come first: a request may
     * already be on its way on a client connection that is being closed.
     */
    public boolean closeIdle() {
        return closeIdleServer.getAsBoolean() || closeIdleClient.getAsBoolean();
    }
}
