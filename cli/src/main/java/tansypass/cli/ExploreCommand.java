package tansypass.cli;

import com.google.gson.JsonObject;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntConsumer;
import picocli.CommandLine.Command;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import picocli.CommandLine.TypeConversionException;
import tansypass.config.InvalidConfigException;
import tansypass.testbed.exploration.ScheduleExplorer;
import tansypass.testbed.scenario.Scenario;
import tansypass.testbed.scenario.Scenario.Fault;
import tansypass.testbed.scenario.ScenarioFile;
import tansypass.testbed.scenario.ScenarioToml;
import tansypass.testbed.simulation.SimulationRun;

/** Searches for a fault schedule that violates an invariant. */
@Command(
        name = "explore",
        mixinStandardHelpOptions = true,
        description =
                "Run a scenario in virtual time under random fault schedules, on all cores. A schedule that violates"
                        + " an invariant is reduced to fewer faults and saved, and the exit code is 3.")
final class ExploreCommand implements Callable<Integer> {
    private static final long PROGRESS_INTERVAL_NS = 5_000_000_000L;

    @Parameters(
            paramLabel = "FILE",
            description = "the scenario (TOML); random faults are added to the faults in the file")
    private String file;

    @Option(
            names = "--budget",
            defaultValue = "60s",
            converter = BudgetConverter.class,
            description = "time limit of the search, such as 60s or 10m; default 60s")
    private long budgetMs;

    @Option(names = "--seed", defaultValue = "1", description = "seed of the first schedule; default 1")
    private long seed;

    @Option(names = "--most", defaultValue = "2147483647", description = "maximum number of schedules")
    private int maxSchedules;

    @Option(names = "--threads", defaultValue = "0", description = "number of threads; by default one per core")
    private int threads;

    @Option(
            names = "--keep",
            paramLabel = "DIR",
            defaultValue = "scenarios/found",
            description = "directory for a schedule that violates an invariant; default scenarios/found")
    private Path keepDirectory;

    @Option(names = "--json", paramLabel = "OUT", description = "write the result to this file as JSON")
    private Path jsonFile;

    @Spec
    private CommandSpec spec;

    /** Converts a number of seconds or minutes, such as {@code 60s}, to milliseconds. */
    static final class BudgetConverter implements ITypeConverter<Long> {
        @Override
        public Long convert(String text) {
            if (!text.matches("[0-9]{1,6}[sm]")) {
                throw new TypeConversionException("\"" + text + "\" is not a time such as 60s or 10m");
            }
            long number = Long.parseLong(text.substring(0, text.length() - 1));
            return number * (text.endsWith("m") ? 60_000 : 1_000);
        }
    }

    @Override
    public Integer call() throws InvalidConfigException, IOException, InterruptedException {
        Scenario scenario = ScenarioFile.read(file);
        long startNs = System.nanoTime();
        ScheduleExplorer.Result result = new ScheduleExplorer(scenario, SimulationRun::run, newProgressPrinter(startNs))
                .explore(
                        seed,
                        budgetMs,
                        maxSchedules,
                        threads > 0 ? threads : Runtime.getRuntime().availableProcessors());
        PrintWriter out = spec.commandLine().getOut();
        out.printf(
                "%s: %d schedules in %.1f s%n",
                scenario.name(), result.triedCount(), (System.nanoTime() - startNs) / 1e9);
        if (jsonFile != null) {
            Files.writeString(jsonFile, toJson(scenario, result).toString());
        }
        if (result.finding().isEmpty()) {
            out.println("no rule was broken");
            out.flush();
            return Exit.OK;
        }
        report(scenario, result.finding().get(), out);
        return Exit.NEGATIVE;
    }

    /** Writes the shrunk schedule to a file and prints the violation. */
    private void report(Scenario scenario, ScheduleExplorer.Finding found, PrintWriter out) throws IOException {
        Path keptFile = resolveKeptFile(scenario, found);
        Files.createDirectories(keepDirectory);
        Files.writeString(keptFile, ScenarioToml.of(found.smallestScenario()));
        // Scripts match RULE BROKEN here and in the output of "testbed run".
        out.println("RULE BROKEN " + found.violation());
        for (Fault fault : found.smallestScenario().faults()) {
            out.println("  " + fault);
        }
        out.println("again with: ./tansypass testbed run " + keptFile + " --seed " + found.seed() + " --virtual");
        out.flush();
    }

    private Path resolveKeptFile(Scenario scenario, ScheduleExplorer.Finding found) {
        return keepDirectory.resolve(scenario.name() + "-" + found.seed() + ".toml");
    }

    /** Returns a callback that prints progress to standard error, so that standard output has only the result. */
    private IntConsumer newProgressPrinter(long startNs) {
        PrintWriter err = spec.commandLine().getErr();
        AtomicLong nextNs = new AtomicLong(startNs + PROGRESS_INTERVAL_NS);
        return tried -> {
            long nowNs = System.nanoTime();
            long dueNs = nextNs.get();
            if (nowNs - dueNs >= 0 && nextNs.compareAndSet(dueNs, nowNs + PROGRESS_INTERVAL_NS)) {
                err.printf("%d schedules, %d of %d s%n", tried, (nowNs - startNs) / 1_000_000_000, budgetMs / 1_000);
                err.flush();
            }
        };
    }

    private JsonObject toJson(Scenario scenario, ScheduleExplorer.Result result) {
        JsonObject summary = new JsonObject();
        summary.addProperty("scenario", scenario.name());
        summary.addProperty("first_seed", seed);
        summary.addProperty("tried", result.triedCount());
        result.finding().ifPresent(found -> {
            JsonObject violation = new JsonObject();
            violation.addProperty("rule", found.violation().invariant().name());
            violation.addProperty("at_us", found.violation().atUs());
            violation.addProperty("what", found.violation().description());
            violation.addProperty("seed", found.seed());
            violation.addProperty("kept", resolveKeptFile(scenario, found).toString());
            summary.add("found", violation);
        });
        return summary;
    }
}
