package tansypass.node.process;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.util.concurrent.Future;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import tansypass.node.admin.AdminServer;
import tansypass.node.configuration.ConfigSource;
import tansypass.node.configuration.InvalidNodeConfigException;
import tansypass.node.configuration.NodeConfig;
import tansypass.node.lifecycle.DelayRoundingIoHandler;
import tansypass.node.lifecycle.DescriptorLimiter;
import tansypass.node.lifecycle.Lifecycle;
import tansypass.node.lifecycle.OpenFileLimit;
import tansypass.node.warmup.WarmUp;

/**
 * A node as a process of its own: the order of its start, the handling of SIGHUP and SIGTERM, and the exits on
 * failure. The start runs on the main thread, signal handlers run on threads of the Java runtime, and the node runs
 * on its event loop.
 */
public final class NodeProcess {
    private static final int EXIT_OK = 0;
    private static final int EXIT_FAILURE = 1;
    private static final int EXIT_INVALID_CONFIG = 2;

    /**
     * The time after the node's own shutdown timeout in which started responses may end, unless SIGKILL comes first.
     */
    private static final long STOP_GRACE_MS = 5_000;
    /** The timeout of an admin call. An operator's client has timed out by then. */
    private static final long ADMIN_CALL_TIMEOUT_MS = 3_000;

    private final ConfigSource source;
    private final NodeConfig config;
    private final EventLoopGroup group;
    private final EventLoop loop;
    private final ProxyNode node;

    /**
     * Loads the configuration and creates the node. Throws InvalidNodeConfigException if the configuration is missing
     * or invalid.
     */
    private NodeProcess(ConfigSource source) throws InvalidNodeConfigException {
        this.source = source;
        group = new MultiThreadIoEventLoopGroup(1, DelayRoundingIoHandler.newFactory());
        loop = group.next();
        config = source.load();
        node = new ProxyNode(config, loop);
    }

    /**
     * Starts a node that serves until SIGTERM. If the node can't start, the process ends with one line on standard
     * error. Returns before the node listens.
     *
     * @param metricsFormatter see {@link AdminServer}; null for no metrics page
     * @param cluster the cluster that the node is a member of, or null
     */
    public static void run(ConfigSource source, UnaryOperator<String> metricsFormatter, ClusterView cluster) {
        int openFiles = OpenFileLimit.read();
        if (openFiles < DescriptorLimiter.MIN_DESCRIPTORS) {
            exit(
                    "short of file descriptors: the limit (ulimit -n) is " + openFiles + ", a node needs at least "
                            + DescriptorLimiter.MIN_DESCRIPTORS,
                    EXIT_FAILURE);
            return;
        }
        NodeProcess process;
        try {
            process = new NodeProcess(source);
        } catch (InvalidNodeConfigException e) {
            exit("bad configuration: " + e.getMessage(), EXIT_INVALID_CONFIG);
            return;
        }
        process.start(metricsFormatter, cluster);
    }

    private void start(UnaryOperator<String> metricsFormatter, ClusterView cluster) {
        loadLogClasses();
        // A process whose event loop has ended can't serve clients. The loop ends only by a fault: when the process
        // stops regularly, its shutdown hook halts it.
        group.terminationFuture().addListener(ended -> exit("the event loop has ended by a fault", EXIT_FAILURE));
        Runtime.getRuntime().addShutdownHook(new Thread(this::stop, "stop"));
        if (cluster != null) {
            cluster.setSizeListener(node::onClusterSize);
            node.lifecycle().setObserver(state -> cluster.setServing(state == Lifecycle.State.TAKING));
        }
        reloadOnHangup();
        if (config.admin() != null) {
            startAdminServer(metricsFormatter);
        }
        loop.execute(() -> node.start(group, WarmUp.REQUESTS)
                .addListener(listening -> exitIfNotListening(listening, "for clients")));
    }

    /**
     * Formats a log record that is not printed, so that all files needed for a log line have been read, above all the
     * one with the time zones. Once descriptors have run out these files can't be opened, and the error thrown by the
     * logger would end the event loop that writes the log line. The first log line takes this time in any case.
     */
    private static void loadLogClasses() {
        LogRecord record = new LogRecord(Level.INFO, "");
        for (Handler handler : Logger.getLogger("").getHandlers()) {
            if (handler.getFormatter() != null) {
                handler.getFormatter().format(record);
            }
        }
    }

    private void startAdminServer(UnaryOperator<String> metricsFormatter) {
        EventLoopGroup adminGroup = new MultiThreadIoEventLoopGroup(1, DelayRoundingIoHandler.newFactory());
        new AdminServer(node.metrics(), node.lifecycle(), ADMIN_CALL_TIMEOUT_MS, metricsFormatter)
                .listen(adminGroup, config.admin())
                .addListener(listening -> exitIfNotListening(listening, "for operators"));
    }

    /**
     * Ends the process if it can't listen, because it is of no use without one of its addresses. Has no effect if the
     * node was stopped before it listened.
     */
    private static void exitIfNotListening(Future<?> listening, String purpose) {
        if (listening.cause() != null && !listening.isCancelled()) {
            exit("can't listen " + purpose + ": " + listening.cause().getMessage(), EXIT_FAILURE);
        }
    }

    private void reloadOnHangup() {
        try {
            HangupSignal.setHandler(this::reload);
        } catch (SignalUnavailableException e) {
            // The node can serve, but SIGHUP ends it, which operators have to know.
            StandardErrorPrinter.print(e.getMessage());
        }
    }

    /** Reloads the configuration. If the new one is invalid, the old one stays in effect. */
    private void reload() {
        try {
            NodeConfig changed = source.reload();
            loop.execute(() -> node.reload(changed));
        } catch (InvalidNodeConfigException e) {
            StandardErrorPrinter.print("configuration not reloaded, the old one stays: " + e.getMessage());
        }
    }

    /** Stops gracefully. Runs as the shutdown hook on SIGTERM, and halts the process to make the exit code 0. */
    private void stop() {
        CountDownLatch stopped = new CountDownLatch(1);
        loop.execute(() -> node.stop(stopped::countDown));
        try {
            stopped.await(node.stopTimeoutMs() + STOP_GRACE_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Runtime.getRuntime().halt(EXIT_OK);
    }

    /**
     * Ends the process at once, without the shutdown hook: there is no request to respond to, and the hook would wait
     * for the event loop.
     */
    private static void exit(String reason, int code) {
        StandardErrorPrinter.print(reason);
        Runtime.getRuntime().halt(code);
    }
}
