package tansypass.node.admin;

import java.util.function.LongSupplier;
import tansypass.node.lifecycle.DirectMemory;
import tansypass.node.lifecycle.HeapMemory;

/**
 * The sources of the process's memory metrics, in bytes. The suppliers are called on any thread.
 *
 * @param heapUsed returns the heap in use
 * @param heapLimit the limit of the heap
 * @param directUsed returns the direct memory in use
 * @param directLimit the limit of the direct memory
 */
public record MemoryGauges(LongSupplier heapUsed, long heapLimit, LongSupplier directUsed, long directLimit) {
    /** Returns the gauges of this process. */
    static MemoryGauges ofProcess() {
        return new MemoryGauges(
                HeapMemory::usedBytes,
                HeapMemory.limitBytes(),
                DirectMemory::allocatedBytes,
                DirectMemory.limitBytes());
    }
}
