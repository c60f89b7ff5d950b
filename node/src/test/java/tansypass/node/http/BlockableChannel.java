package tansypass.node.http;

import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.embedded.EmbeddedChannel;

/** A channel whose receiver accepts nothing until it is unblocked. */
public final class BlockableChannel extends EmbeddedChannel {
    private boolean blocked = true;

    public BlockableChannel() {
        config().setWriteBufferWaterMark(ConnectionBufferLimits.WATER_MARK);
    }

    @Override
    protected void doWrite(ChannelOutboundBuffer buffer) throws Exception {
        if (!blocked) {
            super.doWrite(buffer);
        }
    }

    /** Writes what waits, and everything that is written later. */
    public void unblock() {
        blocked = false;
        flush();
    }

    /** Returns the number of bytes that wait to be written. */
    public long waitingBytes() {
        return unsafe().outboundBuffer().totalPendingWriteBytes();
    }
}
