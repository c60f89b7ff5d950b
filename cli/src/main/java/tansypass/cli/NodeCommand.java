package tansypass.cli;

import java.io.IOException;
import java.time.Clock;
import java.time.Duration;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import tansypass.cluster.transport.ClusterMember;
import tansypass.config.InvalidConfigException;
import tansypass.config.NodeFile;

/** Runs one node until SIGTERM. */
@Command(
        name = "node",
        mixinStandardHelpOptions = true,
        description = "Run a node until SIGTERM. SIGHUP reloads the file.")
final class NodeCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "the node's TOML file")
    private String file;

    @Option(names = "--with-parent", hidden = true, description = "end at once when standard input closes")
    private boolean withParent;

    @Option(
            names = "--wall-clock-offset",
            hidden = true,
            defaultValue = "0",
            description = "milliseconds that this process's wall clock is off, as after a step; for the testbed")
    private long clockOffsetMs;

    @Override
    public Integer call() throws InvalidConfigException {
        NodeFile initial = NodeFile.read(file, System.getenv());
        Logs.configure(initial.log());
        if (withParent) {
            haltWithParent();
        }
        ConfigReloader reloader = new ConfigReloader(file, System.getenv(), initial);
        ClusterMember member =
                Membership.join(initial, Clock.offset(Clock.systemUTC(), Duration.ofMillis(clockOffsetMs)));
        tansypass.node.Main.serve(
                reloader, new MetricsPage(member), member == null ? null : new ClusterMemberAdapter(member));
        return Exit.KEEP_RUNNING;
    }

    /** Halts when the parent is gone, without a graceful shutdown, as after SIGKILL. */
    private static void haltWithParent() {
        Thread watch = new Thread(
                () -> {
                    try {
                        while (System.in.read() >= 0) {
                            // Nothing is ever sent.
                        }
                    } catch (IOException e) {
                        // Handled like the end of the input.
                    }
                    Runtime.getRuntime().halt(Exit.FAILED);
                },
                "parent");
        watch.setDaemon(true);
        watch.start();
    }
}
