package tansypass.node.frontend;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpRequest;
import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import tansypass.node.admin.CloseReason;
import tansypass.node.admin.NodeMetrics;
import tansypass.node.http.BadRequestException;
import tansypass.node.http.BufferLimiters;
import tansypass.node.http.RequestBody;
import tansypass.node.lifecycle.DescriptorLimiter;
import tansypass.node.lifecycle.Lifecycle;

/**
 * The client side of a node: accepts connections, reads requests and passes them to a dispatcher. It connects the
 * {@link ConnectionAcceptor}, the {@link ClientConnectionRegistry} and the connections. Used on the event loop only.
 */
public final class HttpFrontend {
    /** The header with the token of the warm-up's requests, to which this node responds itself. */
    public static final String WARM_UP_HEADER = "X-Rehearsal";

    /**
     * The time for which the connections accepted last may stay open without a request. Accepting ends 0.6 s
     * after the shutdown began, and a request that arrives more than 0.7 s after that beginning might get no response
     * before the process is killed.
     */
    private static final long LAST_REQUESTS_GRACE_MS = 60;

    private final EventLoop loop;
    private final DescriptorLimiter descriptors;
    private final ClientRequestParser parser;
    private final Lifecycle lifecycle;
    private final NodeMetrics metrics;
    private final Consumer<Exchange> dispatcher;
    private final BufferLimiters limiters;
    private final ConnectionAcceptor acceptor;
    private final ClientConnectionRegistry connections;
    private final LocalResponder localResponder;
    private final PipelineScheduler pipelineScheduler;

    /**
     * Creates a frontend that does not listen yet.
     *
     * @param limiters bound the memory of buffered messages
     * @param dispatcher receives each request once: when it is complete, or earlier if its body is long
     */
    public HttpFrontend(
            EventLoop loop,
            DescriptorLimiter descriptors,
            BufferLimiters limiters,
            ClientRequestParser parser,
            Lifecycle lifecycle,
            NodeMetrics metrics,
            Consumer<Exchange> dispatcher) {
        this.loop = loop;
        this.descriptors = descriptors;
        this.limiters = limiters;
        this.parser = parser;
        this.lifecycle = lifecycle;
        this.metrics = metrics;
        this.dispatcher = dispatcher;
        localResponder = new LocalResponder(lifecycle);
        // Unlike a task that is executed, a timer runs only after the next poll.
        pipelineScheduler = new PipelineScheduler(task -> loop.schedule(task, 0, TimeUnit.NANOSECONDS));
        acceptor = new ConnectionAcceptor(loop, descriptors, limiters.heap(), this::addClientHandlers);
        connections = new ClientConnectionRegistry(loop, lifecycle, descriptors);
        metrics.setHeapBufferGauge(limiters.heap()::usedBytes);
        descriptors.setClientCallbacks(connections::reclaimOne, acceptor::resume);
    }

    /** Stops the periodic sweep of the connections. For a frontend that has not served clients. */
    public void close() {
        connections.close();
    }

    /** Binds the clients' address; the future fails if that is not possible. */
    public ChannelFuture listen(EventLoopGroup group, SocketAddress address) {
        return acceptor.listen(group, address);
    }

    /** Binds an address for the warm-up. The caller closes the channel. */
    public ChannelFuture listenForWarmUp(EventLoopGroup group, SocketAddress address) {
        return acceptor.listenForWarmUp(group, address);
    }

    /** Adds the handlers of a client's connection to the pipeline of its channel. */
    public void addClientHandlers(ChannelPipeline pipeline) {
        new ClientConnection(this, pipeline.channel()).addHandlers(pipeline);
    }

    /**
     * Sets the token that marks requests of the warm-up in {@link #WARM_UP_HEADER}. This node responds to them
     * itself, even after the end of the warm-up.
     */
    public void setWarmUpToken(String token) {
        localResponder.setWarmUpToken(token);
    }

    /** Accepts the pending connections, closes the listening channel and runs {@code whenStopped}. */
    public void stopAccepting(Runnable whenStopped) {
        if (!acceptor.hasListener()) {
            whenStopped.run();
            return;
        }
        acceptor.closeAfterAccepting(whenStopped);
        loop.schedule(connections::stopAwaitingFirstRequests, LAST_REQUESTS_GRACE_MS, TimeUnit.MILLISECONDS);
    }

    /** Returns whether all client connections are closed, which they are after their responses. */
    public boolean isDrained() {
        return connections.isEmpty();
    }

    /** Adds an accepted connection, and pauses accepting if there is no capacity for another one. */
    void addConnection(ClientConnection connection) {
        descriptors.addClient();
        if (!descriptors.reclaimClientCapacity()) {
            acceptor.pause();
        }
        connections.add(connection);
        metrics.setClientConnections(descriptors.clientCount());
    }

    /** Removes a connection that has been closed. */
    void removeConnection(ClientConnection connection) {
        connections.remove(connection);
        metrics.setClientConnections(descriptors.clientCount());
    }

    /** Records that the connection is the most recently used one, which is reclaimed last. */
    void markRecentlyUsed(ClientConnection connection) {
        connections.markRecentlyUsed(connection);
    }

    /** Returns the lifecycle, which has the state of the node. */
    Lifecycle lifecycle() {
        return lifecycle;
    }

    /** Returns the limiters of the memory in which all connections together buffer messages. */
    BufferLimiters limiters() {
        return limiters;
    }

    /** Returns the scheduler of the pipelined input of all connections. */
    PipelineScheduler pipelineScheduler() {
        return pipelineScheduler;
    }

    /** Returns the responder to the requests for the node itself. */
    LocalResponder localResponder() {
        return localResponder;
    }

    /** Counts a client's connection that this node ends. */
    void recordClose(CloseReason reason) {
        metrics.recordClose(reason);
    }

    /** Counts a request whose client disconnected before it was dispatched. */
    void recordAbandoned() {
        metrics.recordAbandoned();
    }

    /**
     * Creates the exchange of a request whose head has been received, and does not dispatch it.
     *
     * @throws BadRequestException if the head is invalid; it holds the status of the response
     */
    Exchange createExchange(ClientConnection connection, HttpRequest head) throws BadRequestException {
        return new Exchange(connection, metrics, parser.parse(head, new RequestBody(limiters.heap())), head);
    }

    /** Passes a request to the dispatcher, which may respond to it before this method returns. */
    void dispatch(Exchange exchange) {
        dispatcher.accept(exchange);
    }
}
