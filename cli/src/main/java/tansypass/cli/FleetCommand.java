package tansypass.cli;

import java.io.PrintWriter;
import java.util.concurrent.Callable;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import tansypass.rig.virtual.FleetFigures;

/** Membership's times and cost at a size. */
@Command(name = "fleet", mixinStandardHelpOptions = true,
        description = "Measure membership in virtual time: how soon a death, a start and a healed partition"
                + " are in"
            + " all views, and what it costs.")
final class FleetCommand implements Callable<Integer> {
    @Option(names = "--nodes", defaultValue = "50", description = "processes; default 50")
    private int nodes;
    @Option(names = "--loss", defaultValue = "0", description = "share of datagrams lost; default 0")
    private double loss;
    @Option(names = "--seeds", defaultValue = "5", description = "plays, of the seeds from 1 on; default 5")
    private int seeds;
    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        if (nodes < 3 || nodes > 5_000 || loss < 0 || loss >= 1 || seeds < 1) {
            throw new ParameterException(spec.commandLine(),
                    "--nodes is from 3 to 5000, --loss from 0 to under 1, --seeds from 1");
        }
        PrintWriter out = spec.commandLine().getOut();
        out.print(FleetFigures.measure(nodes, loss, seeds));
        out.flush();
        return Exit.OK;
    }
}
