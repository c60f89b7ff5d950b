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
    private final LinkState state;
    private final InetSocketAddress target;
    private final Set<RelayConnection> connections = new LinkedHashSet<>();
    private InetSocketAddress address;
    private Channel listener;
    private boolean isBinding;
    /** In place of {@link #listener} while handshakes get no response; empty otherwise. */
    private Optional<UnresponsiveListener> unresponsive = Optional.empty();

    Relay(EventLoop loop, Scheduler scheduler, LinkState state, InetSocketAddress target) {
        this.loop = loop;
        this.scheduler = scheduler;
        this.state = state;
        this.target = target;
    }

    /** Listens at this host, at a port of its own; not to be called on the loop. */
    void start(String host) throws IOException {
        listener = Channels.listen(loop, new InetSocketAddress(host, 0), this::accept);
        address = Channels.local(listener);
    }

    InetSocketAddress address() {
        return address;
    }

    /** Returns for how long what has entered is still in transit, in microseconds. */
    long busyForUs() {
        return Math.max(0, state.busyUntilUs() - scheduler.nowUs());
    }

    /** Begins or ends a fault; to be called on the loop. */
    void applyFault(Fault fault, boolean begins) {
        state.apply(fault, begins);
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
        return unresponsive.isPresent();
    }

    /**
     * While the link is cut, a handshake gets no response. Between the two listeners lies a millisecond or two
     * in which connections are refused.
     */
    private void updateListener() {
        if (state.blocksHandshakes() && unresponsive.isEmpty()) {
            stopResponding();
        } else if (!state.blocksHandshakes() && !listener.isOpen() && !isBinding) {
            listenAgain();
        }
    }

    private void stopResponding() {
        listener.close();
        try {
            unresponsive = Optional.of(new UnresponsiveListener(address));
        } catch (BindException e) {
            // The selector releases a closed socket only in its next turn.
            scheduler.after(REBIND_RETRY_US, this::updateListener);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void listenAgain() {
        unresponsive.ifPresent(UnresponsiveListener::close);
        unresponsive = Optional.empty();
        isBinding = true;
        Channels.bind(loop, address, true, this::accept).addListener(done -> {
            isBinding = false;
            if (done.isSuccess()) {
                listener = ((ChannelFuture) done).channel();
                updateListener();
            } else {
                scheduler.after(REBIND_RETRY_US, this::updateListener);
            }
        });
    }

    /** Relays a connection; a link that does not listen itself is given its connections by this. */
    void accept(SocketChannel channel) {
        if (state.isReset()) {
            Channels.reset(channel);
            return;
        }
        channel.config().setAutoRead(false);
        new RelayConnection(loop, scheduler, state, channel, connections).connect(target);
    }

    /** Resets all connections and listens no more. */
    void close() {
        listener.close();
        unresponsive.ifPresent(UnresponsiveListener::close);
        List.copyOf(connections).forEach(RelayConnection::reset);
    }
}
