package tansypass.node;

import io.netty.buffer.ByteBufAllocator;
import org.junit.jupiter.api.extension.AfterAllCallback;
import org.junit.jupiter.api.extension.ExtensionContext;

/** Fails a test class if a buffer has leaked. A leak that is detected late fails a later test class. */
public final class BufferLeakExtension implements AfterAllCallback {
    @Override
    public void afterAll(ExtensionContext context) {
        System.gc();
        // Netty checks for leaks when the next buffer is allocated.
        ByteBufAllocator.DEFAULT.directBuffer().release();
        ByteBufAllocator.DEFAULT.heapBuffer().release();
        if (!CollectingLeakDetector.LEAKS.isEmpty()) {
            String leaks = String.join("\n", CollectingLeakDetector.LEAKS);
            CollectingLeakDetector.LEAKS.clear();
            throw new AssertionError("buffers were lost: " + leaks);
        }
    }
}
