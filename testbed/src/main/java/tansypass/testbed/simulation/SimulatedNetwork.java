package tansypass.testbed.simulation;

import tansypass.balancer.AttemptResult;

/** The interface of a simulated node to the network. Used on the event queue's thread only. */
public interface SimulatedNetwork {
    /**
     * Opens a connection to a server. The callback gets {@code OK} or the reason of the failure; it is not called if
     * the handshake gets no response.
     */
    void connect(String server, Callback callback);

    /** Writes a request on a connection to a server. */
    OutboundRequest send(String server, long requestId, boolean isFirstOnConnection, Callback callback);

    /** Closes an idle connection to a server. */
    void closeIdleConnection(String server);

    /** Sends the final response to a client. */
    void respond(long requestId, int status, String body);

    /** Reports an exception that a call of the balancer threw. A real node survives it, but it is always a bug. */
    void balancerFailed(RuntimeException exception);

    /** Receives the result of a connect or of a request. */
    interface Callback {
        /** Called when the operation has ended; {@code status} and {@code body} are valid only for {@code OK}. */
        void onComplete(AttemptResult result, int status, String body);
    }

    /** A request that was written on a connection and has no complete response yet. */
    interface OutboundRequest {
        /** Closes the connection of the request. */
        void close();
    }
}
