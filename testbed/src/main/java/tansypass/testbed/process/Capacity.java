package tansypass.testbed.process;

import com.sun.management.UnixOperatingSystemMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import tansypass.testbed.model.FaultSchedule;
import tansypass.testbed.scenario.Scenario;

/** Checks before a run that this machine has the memory and the descriptors for it. */
final class Capacity {
    /** A node's resident memory, with some to spare; measured at 95 to 115 MB. */
    private static final long NODE_MB = 130;

    private static final int DESCRIPTORS_SPARE = 200;

    private Capacity() {}

    /**
     * Checks memory and descriptors.
     *
     * @throws InsufficientResourcesException if this machine has too few
     */
    static void require(Scenario scenario) throws InsufficientResourcesException {
        long freeMb = freeMb();
        long fit = freeMb / NODE_MB;
        if (scenario.nodes().count() > fit) {
            throw new InsufficientResourcesException(scenario.nodes().count() + " nodes wanted, " + fit + " fit: "
                    + freeMb + " MB are free and a node takes up to " + NODE_MB + " MB");
        }
        long links = FaultSchedule.faultyLinks(scenario).size();
        // A client's connection has one descriptor here, one to a server too, and a link's two.
        long wanted = scenario.servers().count()
                + 2L * scenario.nodes().count()
                + links
                + 2L
                        * Math.min(scenario.clients().maxOpenRequests(), (long)
                                (scenario.clients().requestsPerS() * 2))
                + DESCRIPTORS_SPARE;
        if (ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean system
                && wanted > system.getMaxFileDescriptorCount()) {
            throw new InsufficientResourcesException("about " + wanted + " descriptors wanted, "
                    + system.getMaxFileDescriptorCount() + " allowed (ulimit -n)");
        }
    }

    private static long freeMb() {
        try {
            return Files.readString(Path.of("/proc/meminfo"))
                    .lines()
                    .filter(l -> l.startsWith("MemAvailable:"))
                    .mapToLong(l -> Long.parseLong(l.replaceAll("[^0-9]", "")) / 1_024)
                    .findFirst()
                    .orElse(Long.MAX_VALUE);
        } catch (IOException e) {
            // Without this file the start of the nodes shows whether they fit.
            return Long.MAX_VALUE;
        }
    }
}
