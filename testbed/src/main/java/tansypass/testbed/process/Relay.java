package tansypass.testbed.process;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import tansypass.cluster.runtime.Scheduler;
import tansypass.testbed.model.LinkState;
import tansypass.testbed.scenario.Scenario.Fault;
import tansypass.testbed.scenario.Scenario.Kind;

/**
 * A link between two processes. It accepts connections from the one process, opens a connection to the other for each,
 * and forwards the streams in both directions with the delays and faults of its {@link LinkState}. Used only on one
 * event loop, except for {@link #start}.
 */
final class Relay {
    /** The interval at which a failed attempt to bind the address again is retried. */
    private static final long REBIND_RETRY_US = 1_000;

    private final EventLoop loop;
    private final Scheduler scheduler;
    private final LinkState linkState;
    private final InetSocketAddress target;
    private final Set<RelayConnection> connections = new LinkedHashSet<>();
    private InetSocketAddress address;
    private Channel listener;
    private boolean isBinding;
    /** Replaces {@link #listener} while handshakes get no response; empty otherwise. */
    private Optional<UnresponsiveListener> unresponsiveListener = Optional.empty();

    Relay(EventLoop loop, Scheduler scheduler, LinkState linkState, InetSocketAddress target) {
        this.loop = loop;
        this.scheduler = scheduler;
        this.linkState = linkState;
        this.target = target;
    }

    /** Listens at a free port of this host; must not be called on the event loop, because it waits. */
    void start(String host) throws IOException {
        listener = Channels.listen(loop, new InetSocketAddress(host, 0), this::accept);
        address = Channels.localAddress(listener);
    }

    InetSocketAddress address() {
        return address;
    }

    /** Returns the time until all bytes that are now in transit are delivered, in microseconds. */
    long remainingTransitUs() {
        return Math.max(0, linkState.busyUntilUs() - scheduler.nowUs());
    }

    /** Begins or ends a fault; must be called on the event loop. */
    void applyFault(Fault fault, boolean begins) {
        linkState.apply(fault, begins);
        if (fault.kind() == Kind.RESET && begins) {
            List.copyOf(connections).forEach(RelayConnection::reset);
        }
        if (listener != null) {
            updateListener();
        }
        List.copyOf(connections).forEach(RelayConnection::flush);
    }

    /** Returns whether TCP handshakes get no response now. */
    boolean blocksHandshakes() {
        return unresponsiveListener.isPresent();
    }

    /**
     * Switches to a listener that leaves handshakes without a response when the link is cut, and back afterwards.
     * While one listener replaces the other, connections are refused for one or two milliseconds.
     */
    private void updateListener() {
        if (linkState.blocksHandshakes() && unresponsiveListener.isEmpty()) {
            stopResponding();
        } else if (!linkState.blocksHandshakes() && !listener.isOpen() && !isBinding) {
            listenAgain();
        }
    }

    private void stopResponding() {
        listener.close();
        try {
            unresponsiveListener = Optional.of(new UnresponsiveListener(address));
        } catch (BindException e) {
            // The event loop releases the closed socket only in its next iteration.
            scheduler.after(REBIND_RETRY_US, this::updateListener);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void listenAgain() {
        unresponsiveListener.ifPresent(UnresponsiveListener::close);
        unresponsiveListener = Optional.empty();
        isBinding = true;
        Channels.bind(loop, address, true, this::accept).addListener(bindResult -> {
            isBinding = false;
            if (bindResult.isSuccess()) {
                listener = ((ChannelFuture) bindResult).channel();
                updateListener();
            } else {
                scheduler.after(REBIND_RETRY_US, this::updateListener);
            }
        });
    }

    /** Relays an accepted connection. If {@link #start} was not called, another listener accepts the connections. */
    void accept(SocketChannel channel) {
        if (linkState.isReset()) {
            Channels.closeWithReset(channel);
            return;
        }
        channel.config().setAutoRead(false);
        new RelayConnection(loop, scheduler, linkState, channel, connections).connect(target);
    }

    /** Stops listening and resets all connections. */
    void close() {
        listener.close();
        unresponsiveListener.ifPresent(UnresponsiveListener::close);
        List.copyOf(connections).forEach(RelayConnection::reset);
    }
}
