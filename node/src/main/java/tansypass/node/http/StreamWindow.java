package tansypass.node.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.AbstractNioChannel;

/**
 * The bytes that wait in a connection's write buffer until the receiver accepts them. The window tells the limiter
 * their number, and sets the marks at which the channel stops and resumes being writable. It serves all messages of a
 * connection, one after another. Used on the channel's event loop only.
 */
public final class StreamWindow {
    private final Channel channel;
    private final StreamMemoryLimiter limiter;
    private long countedBytes;
    /** What was waiting at the last call of {@link #hasAdvanced}. */
    private int firstMessageIdentity;

    private long firstMessageProgress;
    private long waitingBytes;

    /** Creates the window of a connection on which nothing waits. */
    public StreamWindow(Channel channel, StreamMemoryLimiter limiter) {
        this.channel = channel;
        this.limiter = limiter;
    }

    /** Sets the size of the window. Must be called before each part, since marks take effect only at a write. */
    public void resize() {
        WriteBufferWaterMark waterMark = limiter.waterMark();
        if (channel.config().getWriteBufferWaterMark() != waterMark) {
            channel.config().setWriteBufferWaterMark(waterMark);
        }
    }

    /**
     * Counts the bytes that wait now. Must be called after each flush, when the channel is writable again, when the
     * last byte of a message has been written, and after the end of the channel. Until the next call the number is too
     * high by what has been written since.
     */
    public void updateUsage() {
        ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        long uncountedBytes = (buffer == null ? 0 : buffer.totalPendingWriteBytes()) - countedBytes;
        limiter.add(uncountedBytes);
        countedBytes += uncountedBytes;
    }

    /**
     * Attempts to write what waits, and returns whether any of it has been written since the last call. The attempt is
     * needed because the kernel reports a socket as writable only when a third of its send buffer is free. That buffer
     * may hold megabytes, and a receiver that reads 64 kB a second takes longer for a third of it than a timeout lasts.
     */
    public boolean hasAdvanced() {
        if (channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe) {
            unsafe.forceFlush();
        }
        ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        if (buffer == null) {
            return false;
        }
        int identity = System.identityHashCode(buffer.current());
        long progress = buffer.currentProgress();
        long waiting = buffer.totalPendingWriteBytes();
        boolean advanced =
                identity != firstMessageIdentity || progress != firstMessageProgress || waiting < waitingBytes;
        firstMessageIdentity = identity;
        firstMessageProgress = progress;
        waitingBytes = waiting;
        return advanced;
    }
}
