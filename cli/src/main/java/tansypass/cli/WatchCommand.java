package tansypass.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Prints the metrics of nodes at intervals, one row per node. */
@Command(
        name = "watch",
        mixinStandardHelpOptions = true,
        description = "Print the state of nodes and the increase of their metrics at intervals, until Ctrl-C.")
final class WatchCommand implements Callable<Integer> {
    private static final String ROW_FORMAT = "%-21s %-10s %9s %9s %9s %9s %9s %8s%n";

    @Parameters(arity = "1..*", paramLabel = "ADMIN", description = "the nodes' admin addresses")
    private List<String> addresses;

    @Option(names = "--every", defaultValue = "1", paramLabel = "S", description = "seconds between rounds; default 1")
    private int intervalS;

    @Option(names = "--count", defaultValue = "2147483647", paramLabel = "N", description = "maximum number of rounds")
    private int maxRounds;

    @Spec
    private CommandSpec spec;

    /**
     * The state and the metrics of a node at one time. If the node does not respond, the metrics are empty and
     * {@code state} is the reason.
     */
    private record Sample(String state, Map<String, Long> metrics) {
        long sum(String suffix) {
            return metrics.entrySet().stream()
                    .filter(e -> e.getKey().endsWith(suffix))
                    .mapToLong(Map.Entry::getValue)
                    .sum();
        }

        long increaseSince(Optional<Sample> previous, String suffix) {
            // A restarted process counts from 0 again, so its sum can be less than before.
            return Math.max(
                    0, sum(suffix) - previous.map(sample -> sample.sum(suffix)).orElse(0L));
        }
    }

    @Override
    public Integer call() throws InterruptedException {
        PrintWriter out = spec.commandLine().getOut();
        Map<String, Sample> previous = new HashMap<>();
        boolean hasAnyResponse = false;
        for (int round = 0; round < maxRounds; round++) {
            if (round > 0) {
                TimeUnit.SECONDS.sleep(intervalS);
            }
            out.printf(ROW_FORMAT, "node", "state", "served", "refused", "failed", "attempts", "in flight", "servers");
            for (String address : addresses) {
                Sample current = takeSample(address);
                hasAnyResponse |= !current.metrics.isEmpty();
                printRow(out, address, current, Optional.ofNullable(previous.put(address, current)));
            }
            out.flush();
        }
        return hasAnyResponse ? Exit.OK : Exit.FAILED;
    }

    private static void printRow(PrintWriter out, String address, Sample current, Optional<Sample> previous) {
        if (current.metrics.isEmpty()) {
            out.printf("%-21s %s%n", address, current.state);
            return;
        }
        out.printf(
                ROW_FORMAT,
                address,
                current.state,
                current.increaseSince(previous, ".served"),
                current.increaseSince(previous, ".refused"),
                current.increaseSince(previous, ".failed"),
                current.increaseSince(previous, "node.attempts"),
                current.sum("node.in_flight"),
                current.sum("node.web_servers_known") - current.sum("node.web_servers_excluded") + "/"
                        + current.sum("node.web_servers_known"));
    }

    private static Sample takeSample(String address) {
        try {
            Map<String, Long> metrics = new HashMap<>();
            AdminCall.send(address, "GET", "/_vars")
                    .body()
                    .lines()
                    .map(line -> line.split("=", 2))
                    .forEach(pair -> metrics.put(pair[0], Long.valueOf(pair[1])));
            return new Sample(AdminCall.send(address, "GET", "/_ready").body().trim(), metrics);
        } catch (IOException e) {
            return new Sample(e.getMessage().replaceAll("\\p{Cntrl}+", " "), Map.of());
        }
    }
}
