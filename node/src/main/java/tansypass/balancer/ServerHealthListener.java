package tansypass.balancer;

/**
 * Is notified of what operators should know of the servers. After a notification, others are dropped for a second.
 * Calls come on the thread of the event method.
 */
public interface ServerHealthListener {
    /**
     * An update of the endpoint list has left no server that is ready; requests are queued.
     *
     * @param listed number of servers on the list
     */
    void onNoServerReady(int listed);

    /**
     * A server is ejected: it gets single half-open probes until several in a row succeed.
     *
     * @param failures number of failures among its latest outcomes
     */
    void onServerEjected(String serverId, int failures);

    /** An ejected server gets ordinary requests again. */
    void onServerRestored(String serverId);
}
