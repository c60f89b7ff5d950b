package tansypass.testbed.process;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.timeout.IdleStateHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import tansypass.testbed.invariant.InvariantChecker;
import tansypass.testbed.model.WebServer;
import tansypass.testbed.scenario.Scenario.RequestClass;

/** The sockets of a web server whose responses a {@link WebServer} computes. Used only on the run's event loop. */
final class StubWebServer {
    private static final int MAX_BODY_BYTES = 65_536;

    private final EventLoop loop;
    private final WebServer model;
    private final int number;
    private final InvariantChecker checker;
    private final RunClock clock;
    private final Map<String, RequestClass> classesByName;
    private final Set<Channel> channels = new LinkedHashSet<>();
    private InetSocketAddress address;
    private Channel listener;

    StubWebServer(
            EventLoop loop,
            WebServer model,
            int number,
            InvariantChecker checker,
            RunClock clock,
            Map<String, RequestClass> classesByName) {
        this.loop = loop;
        this.model = model;
        this.number = number;
        this.checker = checker;
        this.clock = clock;
        this.classesByName = Map.copyOf(classesByName);
    }

    /** Listens at a free port of this host; must not be called on the event loop, because it waits. */
    void start(String host) throws IOException {
        listener = Channels.listen(loop, new InetSocketAddress(host, 0), this::accept);
        address = Channels.localAddress(listener);
    }

    InetSocketAddress address() {
        return address;
    }

    WebServer model() {
        return model;
    }

    /** Simulates that the server's process is killed: open connections are reset, and new ones are refused. */
    void stop() {
        listener.close();
        model.stop();
        Set.copyOf(channels).forEach(Channels::closeWithReset);
    }

    /** Simulates a new process, which begins with slow start; reports a violation if the address can't be bound. */
    void restart() {
        model.start();
        Channels.bind(loop, address, true, this::accept).addListener(bindResult -> {
            if (bindResult.isSuccess()) {
                listener = ((ChannelFuture) bindResult).channel();
            } else {
                checker.processDied(clock.nowUs(), model.name(), "can't listen again: " + bindResult.cause());
            }
        });
    }

    private void accept(SocketChannel channel) {
        if (!model.acceptConnection()) {
            Channels.closeWithReset(channel);
            return;
        }
        channels.add(channel);
        channel.pipeline()
                .addLast(
                        new IdleStateHandler(0, 0, model.idleTimeoutUs(), TimeUnit.MICROSECONDS),
                        new HttpServerCodec(),
                        new HttpObjectAggregator(MAX_BODY_BYTES),
                        new StubWebServerConnection(this));
    }

    /** Removes a connection that was closed; returns whether it was still in the server's list. */
    boolean removeConnection(Channel channel) {
        boolean isRemoved = channels.remove(channel);
        // A stopped server has already forgotten its connections.
        if (isRemoved && listener.isOpen()) {
            model.connectionClosed();
        }
        return isRemoved;
    }

    /** Returns the request class with this name; empty if the scenario has none. */
    Optional<RequestClass> findRequestClass(String className) {
        return Optional.ofNullable(classesByName.get(className));
    }

    /** Notifies the checker of a complete request; returns the checker's number of the attempt. */
    int recordAttemptStarted(String requestId) {
        return checker.attemptStarted(clock.nowUs(), requestId, number);
    }

    /** Notifies the checker of a response that the model produced. */
    void recordResponseProduced(String requestId, String body) {
        checker.responseProduced(clock.nowUs(), requestId, number, body);
    }

    /** Notifies the checker that an attempt is no longer in flight. */
    void recordAttemptEnded(String requestId, int attempt, boolean isKnownNotExecuted) {
        checker.attemptEnded(clock.nowUs(), requestId, attempt, isKnownNotExecuted);
    }
}
