package tansypass.balancer;

/** Actions that turn notifications of the servers' health into lines of text, which are part of recorded traces. */
interface TextLogActions extends LoadBalancerActions {
    void log(String line);

    @Override
    default void onNoServerReady(int listedServers) {
        log("no server is ready, of " + listedServers + " on the list");
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
