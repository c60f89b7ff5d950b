package tansypass.testbed.process;

import com.sun.management.UnixOperatingSystemMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import tansypass.testbed.model.FaultSchedule;
import tansypass.testbed.scenario.Scenario;

/** Checks before a run that this machine has enough memory and file descriptors for it. */
final class ResourceCheck {
    /** Resident memory of a node: 95 to 115 MB were measured, plus a margin. */
    private static final long NODE_MEMORY_MB = 130;

    /** Margin for descriptors that the estimate does not include. */
    private static final int SPARE_DESCRIPTORS = 200;

    private ResourceCheck() {}

    /**
     * Checks that the nodes fit into the free memory, and the connections into the limit on descriptors.
     *
     * @throws InsufficientResourcesException if this machine has too little of either
     */
    static void requireEnoughFor(Scenario scenario) throws InsufficientResourcesException {
        long freeMemoryMb = freeMemoryMb();
        long maxNodes = freeMemoryMb / NODE_MEMORY_MB;
        if (scenario.nodes().count() > maxNodes) {
            throw new InsufficientResourcesException(scenario.nodes().count() + " nodes wanted, " + maxNodes + " fit: "
                    + freeMemoryMb + " MB are free and a node takes up to " + NODE_MEMORY_MB + " MB");
        }
        long linkCount = FaultSchedule.faultyLinks(scenario).size();
        // In this process a connection of a client or to a server takes one descriptor, and a relayed connection two.
        long neededDescriptors = scenario.servers().count()
                + 2L * scenario.nodes().count()
                + linkCount
                + 2L
                        * Math.min(scenario.clients().maxOpenRequests(), (long)
                                (scenario.clients().requestsPerS() * 2))
                + SPARE_DESCRIPTORS;
        if (ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean operatingSystem
                && neededDescriptors > operatingSystem.getMaxFileDescriptorCount()) {
            throw new InsufficientResourcesException("about " + neededDescriptors + " descriptors wanted, "
                    + operatingSystem.getMaxFileDescriptorCount() + " allowed (ulimit -n)");
        }
    }

    private static long freeMemoryMb() {
        try {
            return Files.readString(Path.of("/proc/meminfo"))
                    .lines()
                    .filter(line -> line.startsWith("MemAvailable:"))
                    .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")) / 1_024)
                    .findFirst()
                    .orElse(Long.MAX_VALUE);
        } catch (IOException e) {
            // This system has no /proc/meminfo, so memory is not checked. If it is too small, the nodes fail to start.
            return Long.MAX_VALUE;
        }
    }
}
