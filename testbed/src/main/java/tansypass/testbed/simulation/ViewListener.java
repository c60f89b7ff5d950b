package tansypass.testbed.simulation;

import tansypass.cluster.membership.Member;

/** Receives the changes of all membership views of a {@link SimulatedCluster}, on the event queue's thread. */
public interface ViewListener {
    /**
     * An entry of a view was added or replaced.
     *
     * @param viewer the number of the member whose view it is
     * @param entry the entry as it is now
     */
    void onUpdate(int viewer, Member entry);

    /**
     * An entry was removed from a view; ignored by default.
     *
     * @param viewer the number of the member whose view it is
     */
    default void onReap(int viewer, Member reaped) {}
}
