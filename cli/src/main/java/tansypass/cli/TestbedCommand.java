package tansypass.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import tansypass.config.InvalidConfigException;
import tansypass.testbed.invariant.InvariantChecker;
import tansypass.testbed.process.InsufficientResourcesException;
import tansypass.testbed.process.Progress;
import tansypass.testbed.report.Report;
import tansypass.testbed.scenario.Scenario;
import tansypass.testbed.scenario.ScenarioFile;
import tansypass.testbed.simulation.SimulationRun;

/** Runs scenarios with faults, on real processes or in virtual time. */
@Command(
        name = "testbed",
        aliases = "rig",
        mixinStandardHelpOptions = true,
        subcommands = {
            TestbedCommand.Run.class,
            DemoCommand.class,
            ExploreCommand.class,
            ClusterCommand.class,
            BenchCommand.class
        },
        description = "Run nodes and simulated servers under load and faults, and check invariants.")
final class TestbedCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(
                spec.commandLine(), "a command of the testbed is missing; see the list of commands");
    }

    /** Runs one scenario. */
    @Command(
            name = "run",
            mixinStandardHelpOptions = true,
            description = "Run a scenario and check invariants. The exit code is 3 if an invariant was violated.")
    static final class Run implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", description = "the scenario (TOML)")
        private String file;

        @Option(names = "--seed", defaultValue = "1", description = "seed of all random numbers; default 1")
        private long seed;

        @Mixin
        private JsonOption json;

        @Option(
                names = "--virtual",
                description = "simulate the run in virtual time; the same seed then gives the same trace")
        private boolean inVirtualTime;

        @Option(
                names = "--keep",
                paramLabel = "DIR",
                description = "keep the nodes' files and logs in this directory; by default they are kept only if"
                        + " an invariant was violated")
        private Path keepDirectory;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call()
                throws InvalidConfigException, IOException, InsufficientResourcesException, InterruptedException {
            Scenario scenario = ScenarioFile.read(file);
            PrintWriter out = spec.commandLine().getOut();
            String command =
                    "./tansypass testbed run " + file + " --seed " + seed + (inVirtualTime ? " --virtual" : "");
            long startNs = System.nanoTime();
            InvariantChecker checker = inVirtualTime
                    ? SimulationRun.run(scenario, seed)
                    : ScenarioRunner.runOnProcesses(
                            scenario, seed, Optional.ofNullable(keepDirectory), Progress.NONE, out);
            Report report = Report.of(scenario, seed, command, checker);
            out.print(report.toText());
            out.printf("took %.2f s%n", (System.nanoTime() - startNs) / 1e9);
            out.flush();
            json.write(report::toJson);
            return report.hasNoViolations() ? Exit.OK : Exit.NEGATIVE;
        }
    }
}
