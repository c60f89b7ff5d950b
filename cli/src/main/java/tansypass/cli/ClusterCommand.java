package tansypass.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import tansypass.testbed.report.ClusterPlot;
import tansypass.testbed.simulation.ClusterMetrics;

/** Measures the detection times and the cost of membership by cluster size. */
@Command(
        name = "cluster",
        aliases = "fleet",
        mixinStandardHelpOptions = true,
        description = "Measure membership in virtual time: how soon all views show a failure, a join and a healed"
                + " partition, the cost, and the rate of false positives.")
final class ClusterCommand implements Callable<Integer> {
    @Option(names = "--nodes", split = ",", defaultValue = "50", description = "sizes; default 50")
    private List<Integer> sizes;

    @Option(names = "--loss", defaultValue = "0", description = "share of datagrams lost; default 0")
    private double loss;

    @Option(names = "--seeds", defaultValue = "5", description = "runs, with the seeds from 1 on; default 5")
    private int seeds;

    @Option(names = "--threads", defaultValue = "2", description = "concurrent runs; default 2")
    private int threads;

    @Option(names = "--baseline", description = "compare with all-to-all heartbeats")
    private boolean baseline;

    @Option(
            names = "--hour",
            description = "instead: false positives in an hour, and in one in which a tenth of the nodes"
                    + " pauses for 1 to 3 s repeatedly")
    private boolean hour;

    @Mixin
    private JsonOption json;

    @Option(names = "--plot", paramLabel = "OUT", description = "write curves over the sizes to this file as PNG")
    private Path plot;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws InterruptedException, IOException {
        if (sizes.stream().anyMatch(n -> n < 3 || n > 5_000) || loss < 0 || loss >= 1 || seeds < 1 || threads < 1) {
            throw new ParameterException(
                    spec.commandLine(),
                    "--nodes are from 3 to 5000, --loss from 0 to under 1, --seeds and --threads from 1");
        }
        ClusterMetrics metrics = new ClusterMetrics();
        List<String> kinds = ClusterMetrics.protocolNames();
        for (int size : sizes) {
            for (String kind : baseline ? kinds : kinds.subList(0, 1)) {
                if (hour) {
                    metrics.measureFalsePositives(kind, size, loss, false, seeds, threads);
                    metrics.measureFalsePositives(kind, size, loss, true, seeds, threads);
                } else {
                    metrics.measure(kind, size, loss, seeds, threads);
                }
            }
        }
        PrintWriter out = spec.commandLine().getOut();
        out.print(metrics.toText());
        out.flush();
        json.write(metrics::toJson);
        if (plot != null) {
            ClusterPlot.write(metrics.rows(), plot.toFile());
        }
        return Exit.OK;
    }
}
