package tansypass.node.http;

/**
 * The limiters of the memory in which a node buffers messages.
 *
 * @param heap counts the heap memory
 * @param direct counts the direct memory of what waits to be written
 */
public record BufferLimiters(HeapBufferLimiter heap, StreamMemoryLimiter direct) {
    /**
     * Creates limiters that count nothing yet.
     *
     * @param directMemoryBytes the limit of the JVM's direct memory
     * @param maxClients the maximum number of client connections
     */
    public BufferLimiters(long directMemoryBytes, int maxClients) {
        this(new HeapBufferLimiter(maxClients), new StreamMemoryLimiter(directMemoryBytes, maxClients));
    }
}
