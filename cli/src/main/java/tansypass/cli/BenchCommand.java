package tansypass.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import tansypass.testbed.process.TestbedBenchmark;

/** Measures the overhead of the testbed itself. */
@Command(
        name = "bench",
        mixinStandardHelpOptions = true,
        description =
                "Measure the overhead of the testbed: a link through the testbed compared with a direct connection, and"
                        + " the request rate of one thread.")
final class BenchCommand implements Callable<Integer> {
    @Option(
            names = "--runs",
            defaultValue = "5",
            description = "number of runs of each measurement; runs alternate, and medians are printed; default 5")
    private int runs;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException, InterruptedException {
        PrintWriter out = spec.commandLine().getOut();
        out.print(TestbedBenchmark.measure(runs));
        out.flush();
        return Exit.OK;
    }
}
