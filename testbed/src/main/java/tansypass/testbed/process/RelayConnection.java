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

/**
 * A connection that a {@link Relay} accepted, with the connection to the target that the relay opened for it. Used
 * only on the relay's event loop.
 */
final class RelayConnection {
    private static final int CONNECT_TIMEOUT_MS = 5_000;

    private final EventLoop loop;
    private final Scheduler scheduler;
    private final LinkState linkState;
    private final Set<RelayConnection> openConnections;
    private final Channel acceptedChannel;
    /** The connection to the target; empty until the target has accepted it. */
    private Optional<TargetSide> targetSide = Optional.empty();

    private boolean wasReset;

    /** The connection to the target, and the pipes in both directions. */
    private record TargetSide(Channel channel, RelayPipe toTarget, RelayPipe fromTarget) {}

    /** Creates a connection that is in {@code open} until both of its channels are closed. */
    RelayConnection(
            EventLoop loop,
            Scheduler scheduler,
            LinkState linkState,
            Channel acceptedChannel,
            Set<RelayConnection> openConnections) {
        this.loop = loop;
        this.scheduler = scheduler;
        this.linkState = linkState;
        this.acceptedChannel = acceptedChannel;
        this.openConnections = openConnections;
    }

    /** Connects to the target and starts to relay; resets the accepted connection if the target refuses. */
    void connect(InetSocketAddress target) {
        openConnections.add(this);
        acceptedChannel.closeFuture().addListener(closed -> removeIfClosed());
        Channels.connect(loop, target, CONNECT_TIMEOUT_MS, false, channel -> {}).addListener(connectResult -> {
            if (connectResult.isSuccess()) {
                startRelaying(((ChannelFuture) connectResult).channel());
            } else {
                Channels.closeWithReset(acceptedChannel);
            }
        });
    }

    private void startRelaying(Channel targetChannel) {
        RelayPipe toTarget = new RelayPipe(scheduler, linkState, acceptedChannel, targetChannel, Direction.THERE);
        RelayPipe fromTarget = new RelayPipe(scheduler, linkState, targetChannel, acceptedChannel, Direction.BACK);
        toTarget.setReverse(fromTarget);
        fromTarget.setReverse(toTarget);
        targetSide = Optional.of(new TargetSide(targetChannel, toTarget, fromTarget));
        targetChannel.closeFuture().addListener(closed -> removeIfClosed());
        acceptedChannel.pipeline().addLast(toTarget);
        targetChannel.pipeline().addLast(fromTarget);
        if (acceptedChannel.isActive()) {
            toTarget.startReading();
            fromTarget.startReading();
        } else if (wasReset) {
            // The accepted connection was reset while the connection to the target was being opened.
            Channels.closeWithReset(targetChannel);
        } else {
            targetChannel.close();
        }
    }

    private void removeIfClosed() {
        boolean isTargetSideOpen =
                targetSide.isPresent() && targetSide.get().channel().isOpen();
        if (!acceptedChannel.isOpen() && !isTargetSideOpen) {
            openConnections.remove(this);
            targetSide.ifPresent(side -> {
                side.toTarget().releasePendingChunks();
                side.fromTarget().releasePendingChunks();
            });
        }
    }

    /** Forwards the pending bytes in the directions in which the link is not cut. */
    void flush() {
        targetSide.ifPresent(side -> {
            side.toTarget().flush();
            side.fromTarget().flush();
        });
    }

    /** Resets both connections. */
    void reset() {
        wasReset = true;
        // Prepares the accepted connection first: when the other one closes, its pipe closes the accepted one too.
        Channels.resetOnClose(acceptedChannel);
        targetSide.map(TargetSide::channel).ifPresent(Channels::closeWithReset);
        acceptedChannel.close();
    }
}
