package tansypass.cluster.membership;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.function.Consumer;

/** Sends messages to other processes. Calls never block; results are delivered on the event loop of the process. */
public interface Network {

    /** Sends a datagram, which may get lost. */
    void send(InetSocketAddress to, byte[] datagram);

    /**
     * Sends an encoded view and receives the peer's.
     *
     * @param onResult called once with the peer's view; empty if it rejects this one or does not respond in time
     */
    void pushPull(InetSocketAddress to, byte[] view, Consumer<Optional<byte[]>> onResult);
}
