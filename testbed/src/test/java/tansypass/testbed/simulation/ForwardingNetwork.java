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
    public OutboundRequest send(String server, long request, boolean isFirstOnConnection, Callback callback) {
        return delegate.send(server, request, isFirstOnConnection, callback);
    }

    @Override
    public void closeIdleConnection(String server) {
        delegate.closeIdleConnection(server);
    }

    @Override
    public void respond(long request, int status, String body) {
        delegate.respond(request, status, body);
    }

    @Override
    public void balancerFailed(RuntimeException exception) {
        delegate.balancerFailed(exception);
    }
}
