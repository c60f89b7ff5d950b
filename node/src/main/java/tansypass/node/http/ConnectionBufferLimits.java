package tansypass.node.http;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;

/**
 * Limits on the bytes that are buffered for one connection. They are the same for connections with clients and with web
 * servers, so that neither side of a relayed message buffers much more than the other.
 */
public final class ConnectionBufferLimits {
    /**
     * Write buffer marks of a connection: a sender is paused above the high mark and resumed below the low mark, so a
     * slow receiver bounds how much of a long body is buffered.
     */
    public static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(16 * 1024, 64 * 1024);

    /** Smallest size to which the adaptive allocator shrinks a read buffer, in bytes. */
    private static final int MIN_READ_BYTES = 256;

    /** Initial size of a connection's read buffer, in bytes. */
    private static final int INITIAL_READ_BYTES = 2_048;

    /**
     * Largest number of bytes read from a socket at once: it bounds what is in transit when the receiver can't accept
     * it.
     */
    public static final int MAX_READ_BYTES = 32 * 1024;

    /**
     * Size that is requested for a socket's send buffer and for its receive buffer, in bytes; Linux doubles it. Without
     * it a buffer grows to several megabytes while a message is streamed. Together they would then exceed the kernel's
     * memory for TCP, and it would accept nothing for a slow receiver before half of its buffer has been read.
     */
    public static final int SOCKET_BUFFER_BYTES = 128 * 1024;

    private ConnectionBufferLimits() {}

    /** Creates an allocator of receive buffers whose size follows the connection's previous reads. */
    public static AdaptiveRecvByteBufAllocator newAdaptiveAllocator() {
        return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES);
    }
}
