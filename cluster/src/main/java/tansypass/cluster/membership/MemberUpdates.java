package tansypass.cluster.membership;

/** Receives the updates about members that the parts of the protocol receive from peers or decide on themselves. */
interface MemberUpdates {

    /**
     * Compares an update from a peer with the member table, and adopts the update if it overrides the current entry.
     */
    void apply(Member update);

    /** Puts an entry into the member table without a comparison, broadcasts the entry, and adjusts its timers. */
    void adopt(Member member);
}
