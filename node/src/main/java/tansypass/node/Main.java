package tansypass.node;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import tansypass.node.configuration.ConfigSource;
import tansypass.node.configuration.NodeConfig;
import tansypass.node.lifecycle.DelayRoundingIoHandler;
import tansypass.node.process.ClassArchiveTraining;
import tansypass.node.process.ClusterView;
import tansypass.node.process.NodeProcess;
import tansypass.node.process.ProxyNode;
import tansypass.platform.EnvironmentConfigSource;

/** Entry points of a node: the process that the platform starts, and the methods that the command line calls. */
public final class Main {
    /** The argument that selects the build's training run. The deploy file contains it. */
    private static final String TRAINING_ARGUMENT = "rehearse";

    private Main() {}

    /**
     * Serves until SIGTERM with the configuration that the environment gives. With the argument {@code rehearse},
     * performs the training run of the build's class data sharing archive instead, and ends.
     */
    public static void main(String[] args) {
        if (args.length == 1 && args[0].equals(TRAINING_ARGUMENT)) {
            ClassArchiveTraining.run();
            return;
        }
        NodeProcess.run(new EnvironmentConfigSource(System.getenv()), null, null);
    }

    /**
     * Serves until SIGTERM with a configuration from another source. Returns before the node listens. If the node
     * can't start, the process ends with one line on standard error.
     *
     * @param source loads the configuration at the start, and again at each SIGHUP
     * @param metricsFormatter creates the admin page {@code /metrics} from the text of {@code /_vars}; null for no
     *     such page
     * @param cluster the cluster that the node is a member of, or null for none
     */
    public static void serve(ConfigSource source, UnaryOperator<String> metricsFormatter, ClusterView cluster) {
        NodeProcess.run(source, metricsFormatter, cluster);
    }

    /**
     * Checks that a node can be created with a configuration. Starts nothing.
     *
     * @throws IllegalArgumentException if the node can't be created
     */
    public static void check(NodeConfig config) {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, DelayRoundingIoHandler.newFactory());
        try {
            new ProxyNode(config, group.next()).close();
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
        }
    }
}
