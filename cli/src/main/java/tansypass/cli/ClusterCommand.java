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

/** Measures the detection times and the cost of the membership protocol for each cluster size. */
@Command(
        name = "cluster",
        aliases = "fleet",
        mixinStandardHelpOptions = true,
        description =
                "Measure the membership protocol in virtual time: the time until all views show a failure, a join or"
                        + " the end of a partition, the cost, and the rate of false positives.")
final class ClusterCommand implements Callable<Integer> {
    @Option(
            names = "--nodes",
            split = ",",
            defaultValue = "50",
            description = "cluster sizes, separated by commas; default 50")
    private List<Integer> sizes;

    @Option(names = "--loss", defaultValue = "0", description = "fraction of datagrams that are lost; default 0")
    private double lossRate;

    @Option(names = "--seeds", defaultValue = "5", description = "number of runs, with seeds from 1 upwards; default 5")
    private int runCount;

    @Option(names = "--threads", defaultValue = "2", description = "number of concurrent runs; default 2")
    private int threadCount;

    @Option(names = "--baseline", description = "compare with all-to-all heartbeats")
    private boolean withBaseline;

    @Option(
            names = "--hour",
            description = "measure false positives instead: in one hour, and in one hour in which a tenth of the"
                    + " nodes repeatedly pauses for 1 to 3 s")
    private boolean measuresHour;

    @Mixin
    private JsonOption json;

    @Option(names = "--plot", paramLabel = "OUT", description = "plot the results by cluster size to this PNG file")
    private Path plotFile;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws InterruptedException, IOException {
        if (sizes.stream().anyMatch(n -> n < 3 || n > 5_000)
                || lossRate < 0
                || lossRate >= 1
                || runCount < 1
                || threadCount < 1) {
            throw new ParameterException(
                    spec.commandLine(),
                    "--nodes must be from 3 to 5000, --loss at least 0 and less than 1,"
                            + " --seeds and --threads at least 1");
        }
        ClusterMetrics metrics = new ClusterMetrics();
        List<String> kinds = ClusterMetrics.protocolNames();
        for (int size : sizes) {
            for (String kind : withBaseline ? kinds : kinds.subList(0, 1)) {
                if (measuresHour) {
                    metrics.measureFalsePositives(kind, size, lossRate, false, runCount, threadCount);
                    metrics.measureFalsePositives(kind, size, lossRate, true, runCount, threadCount);
                } else {
                    metrics.measure(kind, size, lossRate, runCount, threadCount);
                }
            }
        }
        PrintWriter out = spec.commandLine().getOut();
        out.print(metrics.toText());
        out.flush();
        json.write(metrics::toJson);
        if (plotFile != null) {
            ClusterPlot.write(metrics.rows(), plotFile.toFile());
        }
        return Exit.OK;
    }
}
