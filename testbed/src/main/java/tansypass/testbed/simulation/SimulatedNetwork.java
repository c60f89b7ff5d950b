package tansypass.testbed.simulation;

import tansypass.balancer.AttemptResult;

/** The network of a node in a simulated run. All calls and callbacks are on the event queue's thread. */
public interface SimulatedNetwork {
    /** Opens a connection; the result is {@code OK}, or why there is none. Without a response nothing is called. */
    void connect(String server, Callback callback);

    /** Writes a request on a connection; {@code fresh} if it is the first on it. */
    OutboundRequest send(String server, long request, boolean fresh, Callback callback);

    /** Closes an idle connection. */
    void closeIdleConnection(String server);

    /** Sends the final response to a client. */
    void respond(long request, int status, String body);

    /** A call of the balancer threw an exception, which a real node survives and never expects. */
    void balancerFailed(RuntimeException fault);

    /** Receives what comes back on a connection. */
    interface Callback {
        /** The operation has ended; {@code status} and {@code body} only count if the result is {@code OK}. */
        void onComplete(AttemptResult result, int status, String body);
    }

    /** A request that was written and whose response is not complete. */
    interface OutboundRequest {
        /** Closes its connection. */
        void close();
    }
}
