package tansypass.cluster.membership;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.function.Consumer;

/** Sends messages to other processes. Calls never block; results are delivered on the thread of the protocol. */
public interface Network {

    /** Sends a datagram, which may get lost. */
    void send(InetSocketAddress to, byte[] datagram);

    /**
     * Sends the encoded view of this process to a peer, and receives the view of the peer.
     *
     * @param onResult called exactly once, with the view of the peer, or with empty if the peer rejects the view of
     *     this process or does not respond in time
     */
    void pushPull(InetSocketAddress to, byte[] view, Consumer<Optional<byte[]>> onResult);
}
