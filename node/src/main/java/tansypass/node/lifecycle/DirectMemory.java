package tansypass.node.lifecycle;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufAllocatorMetricProvider;
import io.netty.util.internal.PlatformDependent;

/**
 * The process's direct memory, in which sockets are read and written. At the JVM's limit an allocation first waits for
 * the garbage collector, up to half a second, and then fails. All methods may be called from any thread.
 */
public final class DirectMemory {
    private DirectMemory() {}

    /** Returns the bytes that the buffer allocator has taken from the JVM, unused parts of its chunks included. */
    public static long allocatedBytes() {
        return ByteBufAllocator.DEFAULT instanceof ByteBufAllocatorMetricProvider allocator
                ? allocator.metric().usedDirectMemory()
                : 0;
    }

    /** Returns the limit of the JVM in bytes ({@code -XX:MaxDirectMemorySize}). */
    public static long limitBytes() {
        return PlatformDependent.maxDirectMemory();
    }
}
