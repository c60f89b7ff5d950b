package tansypass.balancer;

import java.util.List;

/**
 * The interface of the decision module: the events that a proxy node reports (endpoint lists, requests, outcomes,
 * probes, timers) and the actions that the module asks for ({@link LoadBalancerActions}).
 *
 * <p>Times are microseconds of the caller's clock, which never goes backwards; lengths of time are
 * microseconds too. An instance serves one node, is single-threaded, never blocks and calls its
 * {@link LoadBalancerActions} only from within an event method. The same events and seed give the same actions.
 */
public interface LoadBalancer {

    /** The endpoint list has changed; a server that is missing from a complete list is gone. */
    void onEndpointUpdate(long nowUs, UpdateKind kind, List<ServerEntry> entries);

    /** A poll of the endpoint list failed, or the subscription broke; the old list stays in use. */
    void onDiscoveryFailure(long nowUs);

    /**
     * A client's request; it is owed exactly one final response.
     *
     * @throws IllegalArgumentException if its class or tenant is not in the settings, or its id is still
     * in flight
     */
    void onRequest(long nowUs, BalancerRequest request);

    /**
     * A client's request whose long body is still being received. An attempt may start at once, since a server begins
     * to work only with the last byte. Latency objective and deadline are as for {@link #onRequest} until then, and
     * start again with {@link #onUploadCompleted}.
     *
     * @throws IllegalArgumentException as for {@link #onRequest}
     */
    void onUploadStarted(long nowUs, BalancerRequest request);

    /** The last byte of such a request has been received. Unknown ids are ignored. */
    void onUploadCompleted(long nowUs, long requestId);

    /** Part of its body is no longer buffered: no further attempt can be sent. */
    void onBodyNotReplayable(long nowUs, long requestId);

    /** How one attempt ended. Unknown attempts are ignored. */
    void onOutcome(long nowUs, AttemptOutcome outcome);

    /** A long or streamed response of an attempt has started; the attempt has no deadline from here on. */
    void onResponseStarted(long nowUs, long requestId, int attempt);

    /** The client has disconnected; no response is owed any more. Unknown ids are ignored. */
    void onClientDisconnect(long nowUs, long requestId);

    /** The result of a probe; {@code report} as in {@link AttemptOutcome}. Unknown probes are ignored. */
    void onProbe(long nowUs, String serverId, AttemptResult result, long latencyUs, double[] report);

    /**
     * How many nodes there are, this one included, in place of {@link BalancerSettings#nodes}.
     *
     * @param present nodes that serve clients; 0 if that is not known any more, so that the settings' number applies
     * @param lost nodes that have become unreachable but may still serve clients
     */
    void onClusterSize(long nowUs, int present, int lost);

    /** The timer of {@link LoadBalancerActions#scheduleTimer} is due. */
    void onTimer(long nowUs);

    /** Number of servers on the endpoint list, draining ones included. */
    int serverCount();

    /** Number of servers on the list that get no ordinary requests, since they are draining or ejected. */
    int excludedServerCount();
}
