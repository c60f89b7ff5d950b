package tansypass.testbed.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/**
 * Allocates the loopback addresses of one run: a network 127.N that no concurrent run uses, and in it an address for
 * each process.
 */
final class LoopbackAllocator implements AutoCloseable {
    private static final int FIRST_NETWORK = 64;
    private static final int NETWORK_COUNT = 128;
    /** Number of hosts that share the third part of their address (a row). */
    private static final int HOSTS_PER_ROW = 250;

    /** The first row of the servers; lower rows are for nodes. */
    private static final int FIRST_SERVER_ROW = 100;
    /** A run owns a network while it is bound to this port of the network's first address. */
    private static final int CLAIM_PORT = 9;

    private static final int CLIENT_PORT = 8_443;
    private static final int ADMIN_PORT = 9_443;
    private static final int MEMBER_PORT = 7_946;
    /** The first row of the proxy addresses of nodes. */
    private static final int FIRST_PROXY_ROW = 200;

    private final int network;
    private final ServerSocket claimSocket;

    private LoopbackAllocator(int network, ServerSocket claimSocket) {
        this.network = network;
        this.claimSocket = claimSocket;
    }

    /**
     * Claims a network that no other run has claimed.
     *
     * @throws AddressUnavailableException if none is free
     */
    static LoopbackAllocator claim() throws IOException {
        int start = (int) (ProcessHandle.current().pid() % NETWORK_COUNT);
        for (int i = 0; i < NETWORK_COUNT; i++) {
            int network = FIRST_NETWORK + (start + i) % NETWORK_COUNT;
            ServerSocket socket = new ServerSocket();
            try {
                socket.bind(new InetSocketAddress(InetAddress.getByName("127." + network + ".0.1"), CLAIM_PORT));
                return new LoopbackAllocator(network, socket);
            } catch (IOException e) {
                // Another run has claimed this network; try the next one.
                socket.close();
            }
        }
        throw new AddressUnavailableException("no loopback network is free: all " + NETWORK_COUNT
                + " networks from 127." + FIRST_NETWORK + " on are in use");
    }

    private String host(int row, int number) {
        return "127." + network + "." + (row + number / HOSTS_PER_ROW) + "." + (number % HOSTS_PER_ROW + 1);
    }

    /** Returns the host of a node. */
    String nodeHost(int number) {
        return host(1, number);
    }

    /** Returns the host of a server. */
    String serverHost(int number) {
        return host(FIRST_SERVER_ROW, number);
    }

    /** Returns the address at which a node listens for clients. */
    InetSocketAddress clientAddress(int number) {
        return new InetSocketAddress(nodeHost(number), CLIENT_PORT);
    }

    /** Returns the address at which a node listens for operators. */
    InetSocketAddress adminAddress(int number) {
        return new InetSocketAddress(nodeHost(number), ADMIN_PORT);
    }

    /** Returns the address at which a node listens for other members. */
    InetSocketAddress memberAddress(int number) {
        return new InetSocketAddress(nodeHost(number), MEMBER_PORT);
    }

    /** Returns the proxy address at which other members reach a node if {@link MembershipLinks} are in use. */
    InetSocketAddress memberProxyAddress(int number) {
        return new InetSocketAddress(host(FIRST_PROXY_ROW, number), MEMBER_PORT);
    }

    @Override
    public void close() throws IOException {
        claimSocket.close();
    }
}
