package tansypass.node.lifecycle;

/**
 * The heap of the process, objects that are no longer reachable included. Near the limit the garbage collector stops
 * the event loop again and again, and then the process ends. All methods may be called from any thread.
 */
public final class HeapMemory {
    private HeapMemory() {}

    /** Returns the bytes in use. */
    public static long usedBytes() {
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    /** Returns the limit in bytes ({@code -Xmx}). */
    public static long limitBytes() {
        return Runtime.getRuntime().maxMemory();
    }
}
