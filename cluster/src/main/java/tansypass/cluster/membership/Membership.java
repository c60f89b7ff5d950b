package tansypass.cluster.membership;

import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * A membership protocol as one process runs it; the program's is {@link SwimProtocol}. Single-threaded: all calls come
 * from one event loop, and none of them blocks.
 */
public interface Membership {

    /** Starts to take part. */
    void start();

    /** Announces that this process leaves, and stops. */
    void leave();

    /** Stops without notice; nothing is sent from then on. */
    void stop();

    /** This process's present identity. */
    Identity self();

    /** A snapshot of the cluster as this process sees it. */
    MembershipView view();

    /** The live counters of this process. */
    MembershipCounters counters();

    /**
     * Handles a datagram, whatever its bytes are.
     *
     * @param from the address to which a response is sent
     */
    void onDatagram(InetSocketAddress from, byte[] datagram);

    /**
     * Handles a push-pull sync that a peer began, by merging its encoded view.
     *
     * @return this process's own encoded view; empty if the peer's is rejected
     */
    Optional<byte[]> onPushPull(byte[] view);
}
