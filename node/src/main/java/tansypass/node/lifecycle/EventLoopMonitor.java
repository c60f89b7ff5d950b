package tansypass.node.lifecycle;

import io.netty.util.concurrent.FastThreadLocal;
import java.util.function.LongConsumer;

/**
 * Measures how long an event loop is busy between two polls of its sockets. In that time it reads and writes nothing,
 * and no timer runs. Each event loop has one monitor, which is used on its thread only.
 */
public final class EventLoopMonitor {
    private static final FastThreadLocal<EventLoopMonitor> CURRENT = new FastThreadLocal<>();

    private LongConsumer listener = busyNs -> {};

    /** Creates the monitor of an event loop, without a listener. */
    EventLoopMonitor() {}

    /**
     * Sets the listener of the present event loop, which replaces the previous one. Has no effect on a thread without
     * a monitor.
     *
     * @param listener gets the nanoseconds from the end of each poll to the start of the next
     */
    public static void setListener(LongConsumer listener) {
        EventLoopMonitor current = CURRENT.get();
        if (current != null) {
            current.listener = listener;
        }
    }

    /** Makes this the monitor of the calling thread. */
    void bindToThread() {
        CURRENT.set(this);
    }

    /** Reports how long the loop was busy until the poll that starts now. */
    void onPollStart(long busyNs) {
        listener.accept(busyNs);
    }
}
