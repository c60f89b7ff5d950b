package tansypass.balancer;

/**
 * Receives notifications about the servers' health that matter to operators. For one second after a notification,
 * further ones are dropped. The methods are called on the thread of the event method.
 */
public interface ServerHealthListener {
    /**
     * Called when an update of the endpoint list contains no ready server. Requests are queued.
     *
     * @param listedServers number of servers on the list
     */
    void onNoServerReady(int listedServers);

    /**
     * Called when a server is ejected. The server gets only half-open probes until several of them in a row succeed.
     *
     * @param failures number of failures among the server's latest outcomes
     */
    void onServerEjected(String serverId, int failures);

    /** Called when an ejected server is restored and gets ordinary requests again. */
    void onServerRestored(String serverId);
}
