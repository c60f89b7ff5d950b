package tansypass.balancer;

/** Actions that take notifications of the servers' health as lines of text, as recorded traces have them. */
interface TextLogActions extends LoadBalancerActions {
    void log(String line);

    @Override
    default void onNoServerReady(int listed) {
        log("no server is ready, of " + listed + " on the list");
    }

    @Override
    default void onServerEjected(String serverId, int failures) {
        log("ejected server " + serverId + " after " + failures + " failures");
    }

    @Override
    default void onServerRestored(String serverId) {
        log("restored server " + serverId);
    }
}
