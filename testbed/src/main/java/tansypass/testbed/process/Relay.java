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
 * A link between two processes: it listens where the one connects, connects to the other, and forwards both
 * streams as the {@link LinkState} says. Lives on one event loop.
 */
final class Relay {
    private static final long REBIND_RETRY_US = 1_000;

    private final EventLoop loop;
    private final Scheduler scheduler;
    private final LinkState linkState;
    private final InetSocketAddress target;
    private final Set<RelayConnection> connections = new LinkedHashSet<>();
    private InetSocketAddress address;
    private Channel listener;
    private boolean isBinding;
    /** In place of {@link #listener} while handshakes get no response; empty otherwise. */
    private Optional<UnresponsiveListener> unresponsiveListener = Optional.empty();

    Relay(EventLoop loop, Scheduler scheduler, LinkState linkState, InetSocketAddress target) {
        this.loop = loop;
        this.scheduler = scheduler;
        this.linkState = linkState;
        this.target = target;
    }

    /** Listens at this host, at a port of its own; not to be called on the loop. */
    void start(String host) throws IOException {
        listener = Channels.listen(loop, new InetSocketAddress(host, 0), this::accept);
        address = Channels.localAddress(listener);
    }

    InetSocketAddress address() {
        return address;
    }

    /** Returns for how long what has entered is still in transit, in microseconds. */
    long remainingTransitUs() {
        return Math.max(0, linkState.busyUntilUs() - scheduler.nowUs());
    }

    /** Begins or ends a fault; to be called on the loop. */
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

    /** Returns whether a handshake gets no response now. */
    boolean blocksHandshakes() {
        return unresponsiveListener.isPresent();
    }

    /**
     * While the link is cut, a handshake gets no response. Between the two listeners lies a millisecond or two
     * in which connections are refused.
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
            // The selector releases a closed socket only in its next turn.
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

    /** Relays a connection; a link that does not listen itself is given its connections by this. */
    void accept(SocketChannel channel) {
        if (linkState.isReset()) {
            Channels.closeWithReset(channel);
            return;
        }
        channel.config().setAutoRead(false);
        new RelayConnection(loop, scheduler, linkState, channel, connections).connect(target);
    }

    /** Resets all connections and listens no more. */
    void close() {
        listener.close();
        unresponsiveListener.ifPresent(UnresponsiveListener::close);
        List.copyOf(connections).forEach(RelayConnection::reset);
    }
}
