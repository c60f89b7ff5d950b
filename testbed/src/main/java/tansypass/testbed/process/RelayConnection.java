package tansypass.testbed.process;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.Set;
import tansypass.cluster.runtime.Scheduler;
import tansypass.testbed.model.LinkState;
import tansypass.testbed.model.LinkState.Direction;

/** A connection that a {@link Relay} accepted and the one that it opened for it. Lives on the relay's event loop. */
final class RelayConnection {
    private static final int CONNECT_TIMEOUT_MS = 5_000;

    private final EventLoop loop;
    private final Scheduler scheduler;
    private final LinkState state;
    private final Set<RelayConnection> open;
    private final Channel accepted;
    /** Empty until the target has accepted. */
    private Optional<OpenedSide> openedSide = Optional.empty();

    private boolean wasReset;

    /** The connection to the target, and the pipes to it and back. */
    private record OpenedSide(Channel channel, RelayPipe there, RelayPipe back) {}

    /** Creates a connection that is in {@code open} until both of its channels are closed. */
    RelayConnection(EventLoop loop, Scheduler scheduler, LinkState state, Channel accepted, Set<RelayConnection> open) {
        this.loop = loop;
        this.scheduler = scheduler;
        this.state = state;
        this.accepted = accepted;
        this.open = open;
    }

    /** Connects to the target and starts to relay; a target that refuses resets the accepted connection. */
    void connect(InetSocketAddress target) {
        open.add(this);
        accepted.closeFuture().addListener(closed -> removeIfClosed());
        Channels.connect(loop, target, CONNECT_TIMEOUT_MS, false, channel -> {}).addListener(done -> {
            if (done.isSuccess()) {
                start(((ChannelFuture) done).channel());
            } else {
                Channels.reset(accepted);
            }
        });
    }

    private void start(Channel opened) {
        RelayPipe there = new RelayPipe(scheduler, state, accepted, opened, Direction.THERE);
        RelayPipe back = new RelayPipe(scheduler, state, opened, accepted, Direction.BACK);
        there.setReverse(back);
        back.setReverse(there);
        openedSide = Optional.of(new OpenedSide(opened, there, back));
        opened.closeFuture().addListener(closed -> removeIfClosed());
        accepted.pipeline().addLast(there);
        opened.pipeline().addLast(back);
        if (accepted.isActive()) {
            there.open();
            back.open();
        } else if (wasReset) {
            // It was reset while the other connection was being opened.
            Channels.reset(opened);
        } else {
            opened.close();
        }
    }

    private void removeIfClosed() {
        boolean isOpenedSideOpen =
                openedSide.isPresent() && openedSide.get().channel().isOpen();
        if (!accepted.isOpen() && !isOpenedSideOpen) {
            open.remove(this);
            openedSide.ifPresent(side -> {
                side.there().releasePending();
                side.back().releasePending();
            });
        }
    }

    /** Forwards what is pending, as far as the link passes it. */
    void flush() {
        openedSide.ifPresent(side -> {
            side.there().flush();
            side.back().flush();
        });
    }

    /** Resets both connections. */
    void reset() {
        wasReset = true;
        // Both are prepared first: the end of one brings about the end of the other.
        Channels.endWithReset(accepted);
        openedSide.map(OpenedSide::channel).ifPresent(Channels::reset);
        accepted.close();
    }
}
