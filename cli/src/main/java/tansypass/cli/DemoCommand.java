package tansypass.cli;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import tansypass.config.InvalidConfigException;
import tansypass.testbed.invariant.InvariantChecker;
import tansypass.testbed.invariant.RunStatistics.End;
import tansypass.testbed.process.InsufficientResourcesException;
import tansypass.testbed.report.Report;
import tansypass.testbed.scenario.Scenario;
import tansypass.testbed.scenario.ScenarioFile;

/** Runs a small scenario on real processes and prints a row per second. */
@Command(
        name = "demo",
        mixinStandardHelpOptions = true,
        description = "Run four nodes, twelve servers and load on loopback for half a minute, kill a node and"
                + " cut links, and show each second as it goes.")
final class DemoCommand implements Callable<Integer> {
    private static final String ROW_FORMAT = "%4s  %-5s %8s %8s %8s %8s %8s %8s %7s%n";

    @Option(names = "--seed", defaultValue = "1", description = "seed of all random numbers; default 1")
    private long seed;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call()
            throws InvalidConfigException, IOException, InsufficientResourcesException, InterruptedException {
        Scenario scenario = ScenarioFile.parse(readScenario(), "demo.toml");
        PrintWriter out = spec.commandLine().getOut();
        out.println(scenario.nodes().count() + " nodes, " + scenario.servers().count() + " servers, "
                + scenario.clients().requestsPerS() + " requests a second; faults:");
        scenario.faults().forEach(fault -> out.println("  " + fault));
        out.printf(ROW_FORMAT, "s", "nodes", "served", "late", "refused", "failed", "no time", "no way", "broken");
        out.flush();
        InvariantChecker checker = ScenarioRunner.runOnProcesses(
                scenario,
                seed,
                Optional.empty(),
                (second, ends, serving, violations) -> {
                    printRow(out, second, ends, serving, violations);
                    out.flush();
                },
                out);
        Report report = Report.of(scenario, seed, "./tansypass testbed demo --seed " + seed, checker);
        out.print(report.toText());
        out.flush();
        return report.hasNoViolations() ? Exit.OK : Exit.NEGATIVE;
    }

    /** Prints the row of one second; {@code serving} contains a value per node, printed as + if it serves clients. */
    private static void printRow(
            PrintWriter out, long second, Map<End, Long> ends, List<Boolean> serving, int violations) {
        StringBuilder nodes = new StringBuilder();
        serving.forEach(isServing -> nodes.append(isServing ? '+' : '-'));
        out.printf(
                ROW_FORMAT,
                second,
                nodes,
                count(ends, End.SERVED),
                count(ends, End.LATE),
                count(ends, End.REFUSED),
                count(ends, End.FAILED),
                count(ends, End.TIMED_OUT),
                count(ends, End.UNREACHABLE) + count(ends, End.NOT_SENT),
                violations);
    }

    private static long count(Map<End, Long> ends, End end) {
        return ends.getOrDefault(end, 0L);
    }

    private static String readScenario() throws IOException {
        try (InputStream file = DemoCommand.class.getResourceAsStream("demo.toml")) {
            return new String(file.readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
