package tansypass.testbed.simulation;

/** A network that forwards every call. Tests override some of the methods. */
public class ForwardingNetwork implements SimulatedNetwork {
    private final SimulatedNetwork delegate;

    /** Forwards calls to {@code delegate}. */
    public ForwardingNetwork(SimulatedNetwork delegate) {
        this.delegate = delegate;
    }

    @Override
    public void connect(String server, Callback callback) {
        delegate.connect(server, callback);
    }

    @Override
    public OutboundRequest send(String server, long requestId, boolean isFirstOnConnection, Callback callback) {
        return delegate.send(server, requestId, isFirstOnConnection, callback);
    }

    @Override
    public void closeIdleConnection(String server) {
        delegate.closeIdleConnection(server);
    }

    @Override
    public void respond(long requestId, int status, String body) {
        delegate.respond(requestId, status, body);
    }

    @Override
    public void balancerFailed(RuntimeException exception) {
        delegate.balancerFailed(exception);
    }
}
