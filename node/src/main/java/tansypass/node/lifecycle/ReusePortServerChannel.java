package tansypass.node.lifecycle;

import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.AttributeKey;
import java.net.StandardSocketOptions;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A listening socket with SO_REUSEPORT: another process of this node may listen on the same address, and the kernel
 * distributes new connections among them.
 */
public final class ReusePortServerChannel extends NioServerSocketChannel {
    /**
     * The attribute of an accepted connection that tells how long it may have waited in the kernel's accept queue.
     */
    public static final AttributeKey<AcceptQueueWait> ACCEPT_QUEUE_WAIT = AttributeKey.valueOf("acceptQueueWait");

    private static final long DEREGISTRATION_POLL_INTERVAL_MS = 1;

    /** True if connections may be waiting in the accept queue because of a pause. */
    private boolean mayHaveQueuedConnections;

    /** The start of the pause because of which connections may be waiting, by {@link System#nanoTime}. */
    private long queuedSinceNs;

    /**
     * The wait of a connection until it was accepted, in times of {@link System#nanoTime}.
     *
     * @param earliestNs the earliest time at which the connection may have been established
     * @param acceptedNs the time at which the connection was accepted
     */
    public record AcceptQueueWait(long earliestNs, long acceptedNs) {
        /**
         * First bytes that arrive within this time after their connection was accepted were sent together with it.
         */
        static final long FIRST_BYTES_GRACE_NS = TimeUnit.MILLISECONDS.toNanos(50);

        /**
         * Returns the time at which the connection's first bytes count as arrived. If they were sent together with
         * the connection, they count as arrived earlier by its wait, because the client's time may count from when it
         * began to connect.
         *
         * @param bytesNs the earliest time at which the bytes may have arrived
         */
        public long firstBytesNs(long bytesNs) {
            long sinceAcceptedNs = bytesNs - acceptedNs;
            return sinceAcceptedNs > FIRST_BYTES_GRACE_NS ? bytesNs : earliestNs + Math.max(0, sinceAcceptedNs);
        }
    }

    /** Opens the socket without binding it. */
    public ReusePortServerChannel() {
        config().setOption(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true);
    }

    /** Pauses accepting. New connections wait in the kernel's accept queue. */
    public void pause() {
        if (!mayHaveQueuedConnections) {
            mayHaveQueuedConnections = true;
            queuedSinceNs = System.nanoTime();
        }
        config().setAutoRead(false);
    }

    /**
     * Resumes accepting, and accepts the queued connections at once. Connections that arrive later are then not taken
     * for ones that waited during the pause.
     */
    public void resume() {
        config().setAutoRead(true);
        eventLoop().execute(() -> {
            if (isActive() && isRegistered() && !isPaused()) {
                unsafe().read();
            }
        });
    }

    /** Returns whether accepting is paused. */
    public boolean isPaused() {
        return !config().isAutoRead();
    }

    /**
     * Accepts connections and records the wait of each. The kernel does not report when a connection was established.
     * After a pause, each connection may be as old as the pause, until the queue has been found empty. Otherwise it
     * may have arrived at any time during the last iteration of the event loop.
     */
    @Override
    protected int doReadMessages(List<Object> accepted) throws Exception {
        int countBefore = accepted.size();
        int count = super.doReadMessages(accepted);
        if (count == 0) {
            mayHaveQueuedConnections = false;
            return count;
        }
        AcceptQueueWait wait = new AcceptQueueWait(
                mayHaveQueuedConnections ? queuedSinceNs : ArrivalEstimator.earliestArrivalNs(), System.nanoTime());
        for (Object channel : accepted.subList(countBefore, accepted.size())) {
            ((Channel) channel).attr(ACCEPT_QUEUE_WAIT).set(wait);
        }
        return count;
    }

    /**
     * Accepts all pending connections, closes the socket and runs {@code whenClosed}. Connections that are pending
     * when a listening socket closes are reset, so nothing may happen between the last accept and the close. Java
     * closes a socket that is registered with a selector only when the selector next wakes up; the socket is
     * therefore deregistered first.
     */
    public void closeAfterAccepting(Runnable whenClosed) {
        deregister().addListener(done -> acceptAllOnceDeregistered(whenClosed));
    }

    private void acceptAllOnceDeregistered(Runnable whenClosed) {
        if (javaChannel().isOpen() && javaChannel().isRegistered()) {
            eventLoop()
                    .schedule(
                            () -> acceptAllOnceDeregistered(whenClosed),
                            DEREGISTRATION_POLL_INTERVAL_MS,
                            TimeUnit.MILLISECONDS);
            return;
        }
        List<Object> accepted = new ArrayList<>();
        try {
            while (doReadMessages(accepted) > 0) {
                // Repeated until no connection is pending.
            }
            javaChannel().close();
        } catch (Exception e) {
            // For example, no descriptor is left. The connections accepted so far are still served.
            pipeline().fireExceptionCaught(e);
        }
        accepted.forEach(pipeline()::fireChannelRead);
        close();
        whenClosed.run();
    }
}
