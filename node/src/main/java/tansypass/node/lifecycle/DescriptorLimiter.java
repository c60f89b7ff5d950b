package tansypass.node.lifecycle;

import java.util.function.BooleanSupplier;

/**
 * Counts client and server sockets against the process's limit of file descriptors, and closes idle connections
 * before the descriptors run out. Used on the node's event loop only.
 */
public final class DescriptorLimiter {
    /**
     * Descriptors that are not available to client and server connections: those of the runtime's files, the
     * selector, the listening socket and discovery, and those of sockets whose close has not taken effect yet.
     */
    public static final int RESERVED_DESCRIPTORS = 64;
    /**
     * The fewest descriptors with which a process can serve: one for a client, one for a server, and the reserved
     * ones.
     */
    public static final int MIN_DESCRIPTORS = RESERVED_DESCRIPTORS + 2;
    /** Clients may use the limit divided by this number, as the platform requires. */
    private static final int CLIENT_DIVISOR = 3;

    private final int maxSockets;
    private final int maxClients;
    private BooleanSupplier idleClientCloser = () -> false;
    private BooleanSupplier idleServerCloser = () -> false;
    private Runnable capacityCallback = () -> {};
    private int clientCount;
    private int serverCount;

    /** Creates a limiter for a process with the given limit of file descriptors. */
    public DescriptorLimiter(int descriptorLimit) {
        maxSockets = Math.max(2, descriptorLimit - RESERVED_DESCRIPTORS);
        // With a small limit, the reserved descriptors are a larger part, and servers still need a connection or two.
        maxClients = Math.max(1, Math.min(descriptorLimit / CLIENT_DIVISOR, maxSockets * 3 / 4));
    }

    /**
     * Sets the callbacks to the frontend.
     *
     * @param closeIdle closes one idle client connection and returns whether there was one
     * @param whenCapacityAvailable runs after each closed socket
     */
    public void setClientCallbacks(BooleanSupplier closeIdle, Runnable whenCapacityAvailable) {
        idleClientCloser = closeIdle;
        capacityCallback = whenCapacityAvailable;
    }

    /** Sets the callback that closes one idle connection to a server and returns whether there was one. */
    public void setServerCallback(BooleanSupplier closeIdle) {
        idleServerCloser = closeIdle;
    }

    /** Returns the maximum number of client connections. */
    public int maxClients() {
        return maxClients;
    }

    /** Returns the number of client connections that are counted. */
    public int clientCount() {
        return clientCount;
    }

    /** Returns whether another client connection may be accepted. */
    public boolean hasClientCapacity() {
        return clientCapacity() > 0;
    }

    /** Returns the number of client connections that may be accepted; 0 or less if there is no capacity. */
    public int clientCapacity() {
        return Math.min(maxClients - clientCount, maxSockets - clientCount - serverCount);
    }

    /** Counts an accepted client connection. */
    public void addClient() {
        clientCount++;
    }

    /** Closes idle connections until another client may be accepted. Returns whether one may be accepted now. */
    public boolean reclaimClientCapacity() {
        // At the limit for clients, closing a connection to a server does not help.
        boolean closed = true;
        while (clientCount >= maxClients && closed) {
            closed = idleClientCloser.getAsBoolean();
        }
        if (clientCount < maxClients && !hasClientCapacity()) {
            closeIdle();
        }
        return hasClientCapacity();
    }

    /** Subtracts a closed client connection. */
    public void removeClient() {
        clientCount--;
        capacityCallback.run();
    }

    /** Counts a connection to a server. Returns false without counting it if there is no capacity for it. */
    public boolean addServer() {
        if (clientCount + serverCount >= maxSockets && !closeIdle()) {
            return false;
        }
        serverCount++;
        return true;
    }

    /** Subtracts a closed connection to a server. */
    public void removeServer() {
        serverCount--;
        capacityCallback.run();
    }

    /**
     * Closes one idle connection and returns whether there was one. Connections to servers come first, because a
     * request may already be on its way on a client connection that is being closed.
     */
    public boolean closeIdle() {
        return idleServerCloser.getAsBoolean() || idleClientCloser.getAsBoolean();
    }
}
