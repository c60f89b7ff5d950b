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

/** Prints the metrics of some nodes repeatedly, one row per node. */
@Command(
        name = "watch",
        mixinStandardHelpOptions = true,
        description = "Print the state and the increase of the metrics of some nodes repeatedly, until Ctrl-C.")
final class WatchCommand implements Callable<Integer> {
    private static final String ROW = "%-21s %-10s %9s %9s %9s %9s %9s %8s%n";

    @Parameters(arity = "1..*", paramLabel = "ADMIN", description = "the nodes' admin addresses")
    private List<String> addresses;

    @Option(names = "--every", defaultValue = "1", paramLabel = "S", description = "seconds; default 1")
    private int everyS;

    @Option(names = "--count", defaultValue = "2147483647", paramLabel = "N", description = "rounds at most")
    private int count;

    @Spec
    private CommandSpec spec;

    /** The metrics of a node at one time; if there are none, {@code state} is the reason. */
    private record Sample(String state, Map<String, Long> metrics) {
        long sum(String suffix) {
            return metrics.entrySet().stream()
                    .filter(e -> e.getKey().endsWith(suffix))
                    .mapToLong(Map.Entry::getValue)
                    .sum();
        }

        long increaseSince(Optional<Sample> previous, String suffix) {
            // A restarted process counts from 0.
            return Math.max(
                    0, sum(suffix) - previous.map(sample -> sample.sum(suffix)).orElse(0L));
        }
    }

    @Override
    public Integer call() throws InterruptedException {
        PrintWriter out = spec.commandLine().getOut();
        Map<String, Sample> previous = new HashMap<>();
        boolean answered = false;
        for (int round = 0; round < count; round++) {
            if (round > 0) {
                TimeUnit.SECONDS.sleep(everyS);
            }
            out.printf(ROW, "node", "state", "served", "refused", "failed", "attempts", "in flight", "servers");
            for (String address : addresses) {
                Sample current = takeSample(address);
                answered |= !current.metrics.isEmpty();
                printRow(out, address, current, Optional.ofNullable(previous.put(address, current)));
            }
            out.flush();
        }
        return answered ? Exit.OK : Exit.FAILED;
    }

    private static void printRow(PrintWriter out, String address, Sample current, Optional<Sample> previous) {
        if (current.metrics.isEmpty()) {
            out.printf("%-21s %s%n", address, current.state);
            return;
        }
        out.printf(
                ROW,
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
