package tansypass.testbed.simulation;

import tansypass.cluster.membership.Member;

/** Receives the changes of all membership views of a {@link SimulatedCluster}, on the event queue's thread. */
public interface ViewListener {
    /**
     * Called when an entry of a view was added or replaced.
     *
     * @param viewer the number of the member that holds the view
     * @param entry the new entry
     */
    void onUpdate(int viewer, Member entry);

    /**
     * Called when an entry was removed from a view; does nothing by default.
     *
     * @param viewer the number of the member that holds the view
     */
    default void onReap(int viewer, Member reaped) {}
}
