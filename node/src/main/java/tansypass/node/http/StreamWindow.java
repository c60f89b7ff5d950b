package tansypass.node.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.WriteBufferWaterMark;

/**
 * The bytes that wait in a connection's write buffer until the receiver accepts them. The window tells the limiter
 * their number, and sets the marks at which the channel stops and resumes being writable. It serves all messages of a
 * connection, one after another. Used on the channel's event loop only.
 */
public final class StreamWindow {
    private final Channel channel;
    private final StreamMemoryLimiter limiter;
    private long countedBytes;

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
        long waitingBytes = buffer == null ? 0 : buffer.totalPendingWriteBytes();
        limiter.add(waitingBytes - countedBytes);
        countedBytes = waitingBytes;
    }
}
