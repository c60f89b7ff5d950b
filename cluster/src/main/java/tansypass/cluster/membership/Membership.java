package tansypass.cluster.membership;

import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * The membership protocol of one process. A node runs {@link SwimProtocol}. Single-threaded: all calls come from one
 * event loop, and no call blocks.
 */
public interface Membership {

    /** Starts the protocol: the process joins the cluster. */
    void start();

    /** Announces that this process leaves the cluster, and stops the protocol. */
    void leave();

    /** Stops the protocol without notice to peers; nothing is sent from then on. */
    void stop();

    /** Returns the current identity of this process. */
    Identity self();

    /** Returns a snapshot of the cluster as this process sees it. */
    MembershipView view();

    /** Returns the counters of this process, which continue to change. */
    MembershipCounters counters();

    /**
     * Handles a datagram. The bytes may be arbitrary.
     *
     * @param from the address of the sender, to which a response is sent
     */
    void onDatagram(InetSocketAddress from, byte[] datagram);

    /**
     * Handles a push-pull sync that a peer started, by merging the encoded view of the peer.
     *
     * @return the encoded view of this process; empty if the view of the peer is rejected
     */
    Optional<byte[]> onPushPull(byte[] view);
}
