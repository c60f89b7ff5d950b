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

/** Runs one node until it receives SIGTERM. */
@Command(
        name = "node",
        mixinStandardHelpOptions = true,
        description = "Run a node until SIGTERM. SIGHUP reloads the file.")
final class NodeCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "the node's TOML file")
    private String file;

    @Option(names = "--with-parent", hidden = true, description = "end immediately when standard input closes")
    private boolean withParent;

    @Option(
            names = "--wall-clock-offset",
            hidden = true,
            defaultValue = "0",
            description = "offset in milliseconds of this process's wall clock, to simulate a clock step in tests")
    private long wallClockOffsetMs;

    @Override
    public Integer call() throws InvalidConfigException {
        NodeFile initial = NodeFile.read(file, System.getenv());
        Logs.configure(initial.log());
        if (withParent) {
            haltWhenParentEnds();
        }
        ConfigReloader reloader = new ConfigReloader(file, System.getenv(), initial);
        ClusterMember member =
                Membership.join(initial, Clock.offset(Clock.systemUTC(), Duration.ofMillis(wallClockOffsetMs)));
        tansypass.node.Main.serve(
                reloader, new MetricsPage(member), member == null ? null : new ClusterMemberAdapter(member));
        return Exit.KEEP_RUNNING;
    }

    /**
     * Starts a thread that halts this process when the parent process has ended, which closes standard input. As with
     * SIGKILL, there is no graceful shutdown.
     */
    private static void haltWhenParentEnds() {
        Thread watcher = new Thread(
                () -> {
                    try {
                        while (System.in.read() >= 0) {
                            // The parent sends nothing.
                        }
                    } catch (IOException e) {
                        // Treated as the end of the input.
                    }
                    Runtime.getRuntime().halt(Exit.FAILED);
                },
                "parent");
        watcher.setDaemon(true);
        watcher.start();
    }
}
