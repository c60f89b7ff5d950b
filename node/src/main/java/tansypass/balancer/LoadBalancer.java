package tansypass.balancer;

import java.util.List;

/**
 * The load balancer of one proxy node. The node reports each event by a method of this interface: endpoint lists,
 * requests, outcomes, probes and timers. The load balancer responds by calls of {@link LoadBalancerActions}.
 *
 * <p>Times are microseconds of the caller's clock, which never goes backwards; durations are microseconds too. An
 * instance is single-threaded, never blocks and calls its {@link LoadBalancerActions} only from within an event method.
 * The same events and seed give the same actions.
 */
public interface LoadBalancer {

    /** Called when the endpoint list has changed. A server that is missing from a complete list is gone. */
    void onEndpointUpdate(long nowUs, UpdateKind kind, List<ServerEntry> entries);

    /** Called when a poll of the endpoint list or the subscription has failed. The old list stays in use. */
    void onDiscoveryFailure(long nowUs);

    /**
     * Called when a client's request has arrived. The request gets exactly one final response.
     *
     * @throws IllegalArgumentException if the request's class or tenant is not in the settings, or if a request with
     *     the same id is still in flight
     */
    void onRequest(long nowUs, BalancerRequest request);

    /**
     * Called instead of {@link #onRequest} when a client's request has arrived but its long body is still being
     * received. An attempt may start at once, because a server begins to work only after the last byte. Latency
     * objective and deadline start now, and start again with {@link #onUploadCompleted}.
     *
     * @throws IllegalArgumentException as for {@link #onRequest}
     */
    void onUploadStarted(long nowUs, BalancerRequest request);

    /** Called when the last byte of a request's long body has been received. Unknown ids are ignored. */
    void onUploadCompleted(long nowUs, long requestId);

    /** Called when part of a request's long body is no longer buffered: no further attempt can be sent. */
    void onBodyNotReplayable(long nowUs, long requestId);

    /** Called when an attempt has ended. Unknown attempts are ignored. */
    void onOutcome(long nowUs, AttemptOutcome outcome);

    /** Called when a long or streamed response has started. Its attempt has no deadline from now on. */
    void onResponseStarted(long nowUs, long requestId, int attempt);

    /** Called when a client has disconnected: its request needs no response any more. Unknown ids are ignored. */
    void onClientDisconnect(long nowUs, long requestId);

    /**
     * Called when a probe has ended. Unknown probes are ignored.
     *
     * @param report the server's load report in the order of {@link BalancerSettings#reportFields}, or null
     */
    void onProbe(long nowUs, String serverId, AttemptResult result, long latencyUs, double[] report);

    /**
     * Called with the number of nodes in the cluster, which replaces {@link BalancerSettings#nodes}.
     *
     * @param presentNodes number of nodes that serve clients, including this one; 0 if the number is unknown, in which
     *     case {@link BalancerSettings#nodes} applies again
     * @param lostNodes number of nodes that have become unreachable but may still serve clients
     */
    void onClusterSize(long nowUs, int presentNodes, int lostNodes);

    /** Called when the timer of {@link LoadBalancerActions#scheduleTimer} is due. */
    void onTimer(long nowUs);

    /** Returns the number of servers on the endpoint list, including draining ones. */
    int serverCount();

    /** Returns the number of servers on the endpoint list that are draining or ejected. */
    int excludedServerCount();
}
