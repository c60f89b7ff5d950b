package tansypass.node.frontend;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpRequest;
import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import tansypass.node.admin.NodeMetrics;
import tansypass.node.http.BadRequestException;
import tansypass.node.http.BodyMemoryLimiter;
import tansypass.node.http.RequestBody;
import tansypass.node.lifecycle.DescriptorLimiter;
import tansypass.node.lifecycle.Lifecycle;

/**
 * The client side of a node: accepts connections, reads requests and hands them to a dispatcher. It wires the
 * {@link ConnectionAcceptor}, the {@link ClientConnectionRegistry} and the connections. Used on the event loop
 * only.
 */
public final class HttpFrontend {
    /** Carries the token of the warm-up's requests, which this node responds to itself. */
    public static final String WARM_UP_HEADER = "X-Rehearsal";

    /**
     * How long the connections accepted last have for their first request: one that arrived 0.7 s after the
     * stop began and gets no response is lost.
     */
    private static final long LAST_REQUESTS_GRACE_MS = 60;

    private final EventLoop loop;
    private final DescriptorLimiter descriptors;
    private final ClientRequestParser parser;
    private final Lifecycle lifecycle;
    private final NodeMetrics metrics;
    private final Consumer<Exchange> dispatcher;
    private final BodyMemoryLimiter memoryLimiter = new BodyMemoryLimiter();
    private final ConnectionAcceptor acceptor;
    private final ClientConnectionRegistry connections;
    private final LocalResponder localResponder;

    /**
     * Creates a frontend that does not listen yet.
     *
     * @param dispatcher receives each request once: when it is complete, or earlier if its body is long
     */
    public HttpFrontend(
            EventLoop loop,
            DescriptorLimiter descriptors,
            ClientRequestParser parser,
            Lifecycle lifecycle,
            NodeMetrics metrics,
            Consumer<Exchange> dispatcher) {
        this.loop = loop;
        this.descriptors = descriptors;
        this.parser = parser;
        this.lifecycle = lifecycle;
        this.metrics = metrics;
        this.dispatcher = dispatcher;
        localResponder = new LocalResponder(lifecycle);
        acceptor = new ConnectionAcceptor(loop, descriptors, this::addClientHandlers);
        connections = new ClientConnectionRegistry(loop, lifecycle, descriptors);
        descriptors.setClientCallbacks(connections::reclaimOne, acceptor::resume);
    }

    /** Stops the periodic check of the connections; for the end of a warm-up. */
    public void close() {
        connections.close();
    }

    /** Binds the clients' address; the future fails if that is not possible. */
    public ChannelFuture listen(EventLoopGroup group, SocketAddress address) {
        return acceptor.listen(group, address);
    }

    /** Binds an address for the warm-up only; the caller closes the channel. */
    public ChannelFuture listenForWarmUp(EventLoopGroup group, SocketAddress address) {
        return acceptor.listenForWarmUp(group, address);
    }

    /** Adds the handlers of a client's connection to the pipeline of its channel. */
    public void addClientHandlers(ChannelPipeline pipeline) {
        new ClientConnection(this, pipeline.channel()).addHandlers(pipeline);
    }

    /** Responds locally to requests with this token in {@link #WARM_UP_HEADER}, also after the warm-up's end. */
    public void setWarmUpToken(String token) {
        localResponder.setWarmUpToken(token);
    }

    /** Accepts the connections that are pending, then no more, and runs {@code whenStopped}. */
    public void stopAccepting(Runnable whenStopped) {
        if (!acceptor.hasListener()) {
            whenStopped.run();
            return;
        }
        acceptor.closeAfterAccepting(whenStopped);
        loop.schedule(connections::stopAwaitingFirstRequests, LAST_REQUESTS_GRACE_MS, TimeUnit.MILLISECONDS);
    }

    /** Returns whether all connections are closed, after their responses. */
    public boolean isDrained() {
        return connections.isEmpty();
    }

    /** Counts an accepted connection, and pauses accepting if there is no capacity for another. */
    void addConnection(ClientConnection connection) {
        descriptors.addClient();
        if (!descriptors.reclaimClientCapacity()) {
            acceptor.pause();
        }
        connections.add(connection);
    }

    /** Removes a connection that has been closed. */
    void removeConnection(ClientConnection connection) {
        connections.remove(connection);
    }

    /** Makes the connection the last to be reclaimed. */
    void markRecentlyUsed(ClientConnection connection) {
        connections.markRecentlyUsed(connection);
    }

    /** Returns whether the node serves clients. */
    Lifecycle lifecycle() {
        return lifecycle;
    }

    /** Returns the limiter of what all connections together buffer. */
    BodyMemoryLimiter memoryLimiter() {
        return memoryLimiter;
    }

    /** Returns the responder to requests that are for this node itself. */
    LocalResponder localResponder() {
        return localResponder;
    }

    /** Counts a request whose client disconnected before it was dispatched. */
    void recordAbandoned() {
        metrics.recordAbandoned();
    }

    /**
     * Creates the exchange of a request whose head has been received; it is not dispatched yet.
     *
     * @throws BadRequestException if the head is invalid, with the status to respond with
     */
    Exchange createExchange(ClientConnection connection, HttpRequest head) throws BadRequestException {
        return new Exchange(connection, metrics, parser.parse(head, new RequestBody(memoryLimiter)), head);
    }

    /** Hands a request to the dispatcher, which may respond to it before this returns. */
    void dispatch(Exchange exchange) {
        dispatcher.accept(exchange);
    }
}
