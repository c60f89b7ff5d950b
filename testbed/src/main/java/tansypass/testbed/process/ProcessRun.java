package tansypass.testbed.process;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Path;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tansypass.testbed.invariant.InvariantChecker;
import tansypass.testbed.invariant.RunStatistics.End;
import tansypass.testbed.model.FaultSchedule;
import tansypass.testbed.model.MembershipAgreement;
import tansypass.testbed.scenario.Scenario;

/**
 * Runs a scenario with real processes of the program. The nodes are child processes. Web servers, links and clients
 * are in this process, on one event loop, which is also the only thread that calls the checker.
 */
public final class ProcessRun {
    private static final Logger LOG = LoggerFactory.getLogger(ProcessRun.class);

    /** The load starts once all nodes are ready; DEPLOY allows 30 s. Many nodes are allowed one second each. */
    private static final long READY_TIMEOUT_S = 30;

    private static final long READY_CHECK_INTERVAL_US = 20_000;
    private static final long EXIT_TIMEOUT_S = 20;
    private static final long US_PER_SECOND = 1_000_000;
    private static final Pattern IN_FLIGHT_METRIC = Pattern.compile("(?m)^node\\.in_flight=([0-9]+)$");

    private final Scenario scenario;
    private final Progress progress;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final ProcessRunContext context;
    private final InvariantChecker checker;

    private ProcessRun(Scenario scenario, long seed, Progress progress) {
        this.scenario = scenario;
        this.progress = progress;
        context = new ProcessRunContext(scenario, seed, group.next());
        checker = context.checker;
    }

    /**
     * Runs the scenario and returns the checker, which has received all events of the run.
     *
     * @param nodeCommand the command that starts a node when the path of its configuration file is appended
     * @param folder the folder for the nodes' configuration files and logs
     * @param progress is notified each second, on the event loop
     * @throws InsufficientResourcesException if the machine has too few resources, before anything is started
     * @throws AddressUnavailableException if an address is taken
     * @throws NodeStartException if a node does not become ready
     * @throws RunAbortedException if a fault can't be injected
     * @throws IOException if a file can't be written, or the shell of {@link ChildProcessReaper} can't be started
     */
    public static InvariantChecker run(
            Scenario scenario, long seed, List<String> nodeCommand, Path folder, Progress progress)
            throws IOException, InsufficientResourcesException, InterruptedException {
        ResourceCheck.requireEnoughFor(scenario);
        ProcessRun run = new ProcessRun(scenario, seed, progress);
        try (LoopbackAllocator loopback = LoopbackAllocator.claim();
                ChildProcessReaper reaper = new ChildProcessReaper()) {
            new ProcessRunContextBuilder(run.context, nodeCommand, folder, loopback, reaper).build();
            run.startNodes();
            run.context.loop.execute(run::startLoad);
            run.context.completion().get();
            run.shutDownNodes();
        } catch (ExecutionException e) {
            throw new RunAbortedException("the run failed: " + e.getCause().getMessage(), e.getCause());
        } finally {
            run.releaseResources();
        }
        return run.checker;
    }

    private void startNodes() throws NodeStartException, InterruptedException {
        CompletableFuture<Void> allReady = new CompletableFuture<>();
        context.loop.execute(() -> {
            context.nodes.forEach(node -> {
                node.process().start();
                node.pollReadiness();
            });
            completeWhenReady(allReady);
        });
        // Many nodes that start at the same time need about a second each.
        long timeoutS = Math.max(READY_TIMEOUT_S, context.nodes.size());
        try {
            allReady.get(timeoutS, TimeUnit.SECONDS);
        } catch (TimeoutException e) {
            throw new NodeStartException("not ready within " + timeoutS + " s: " + describeUnreadyNodes(), e);
        } catch (ExecutionException e) {
            throw new NodeStartException(e.getCause().getMessage(), e);
        }
    }

    private List<String> describeUnreadyNodes() {
        return context.nodes.stream()
                .filter(node -> !node.isReady())
                .map(node -> node.name() + " (" + node.process().logTail() + ")")
                .toList();
    }

    private void completeWhenReady(CompletableFuture<Void> allReady) {
        if (!checker.violations().isEmpty()) {
            allReady.completeExceptionally(
                    new NodeStartException(checker.violations().get(0).description()));
        } else if (context.nodes.stream().allMatch(ProcessNodeHandle::isReady)) {
            allReady.complete(null);
        } else {
            context.scheduler.after(READY_CHECK_INTERVAL_US, () -> completeWhenReady(allReady));
        }
    }

    private void startLoad() {
        LOG.atInfo()
                .addKeyValue("event", "run.started")
                .addKeyValue("scenario", scenario.name())
                .log("run started");
        context.clock.markLoadStart();
        new FaultSchedule(scenario, new ProcessFaultInjector(context)).start(context.scheduler);
        if (scenario.cluster() != null) {
            context.nodes.forEach(ProcessNodeHandle::pollView);
        }
        new LoadDriver(context).start();
        context.scheduler.after(scenario.lengthUs() + scenario.settleUs(), this::checkNothingInFlight);
        reportProgress(1, Map.of());
    }

    private void reportProgress(long second, Map<End, Long> previousCounts) {
        context.scheduler.after(second * US_PER_SECOND - context.clock.nowUs(), () -> {
            Map<End, Long> counts = checker.statistics().endCounts();
            Map<End, Long> endsInSecond = new EnumMap<>(counts);
            endsInSecond.replaceAll((end, count) -> count - previousCounts.getOrDefault(end, 0L));
            List<Boolean> areNodesReady =
                    context.nodes.stream().map(ProcessNodeHandle::isReady).toList();
            progress.onSecond(second, endsInSecond, areNodesReady, checker.violationCount());
            if (!context.isFinished()) {
                reportProgress(second + 1, counts);
            }
        });
    }

    private void checkNothingInFlight() {
        List<ProcessNodeHandle> readyNodes =
                context.nodes.stream().filter(ProcessNodeHandle::isReady).toList();
        int[] remainingResponses = {readyNodes.size()};
        for (ProcessNodeHandle node : readyNodes) {
            HttpGetClient.get(context.loop, node.adminAddress(), "/_vars", response -> {
                checkNothingInFlight(
                        node, response.map(HttpGetClient.Response::body).orElse(""));
                if (--remainingResponses[0] == 0) {
                    finish();
                }
            });
        }
        if (readyNodes.isEmpty()) {
            finish();
        }
    }

    private void checkNothingInFlight(ProcessNodeHandle node, String metrics) {
        Matcher inFlight = IN_FLIGHT_METRIC.matcher(metrics);
        if (!inFlight.find()) {
            checker.resourceLeaked(context.clock.nowUs(), node.name() + " does not say what it holds");
        } else if (!inFlight.group(1).equals("0")) {
            checker.resourceLeaked(
                    context.clock.nowUs(), node.name() + " still holds " + inFlight.group(1) + " requests");
        }
    }

    private void finish() {
        context.nodes.forEach(node -> node.clients().close());
        MembershipAgreement.check(scenario, checker, context.nodes, context.clock.nowUs());
        checker.finish(context.clock.nowUs());
        context.completion().complete(null);
    }

    /** Terminates the nodes by SIGTERM; a node that does not exit in time is a violation. */
    private void shutDownNodes() throws InterruptedException {
        context.nodes.stream()
                .map(ProcessNodeHandle::process)
                .filter(NodeProcess::isAlive)
                .forEach(process -> {
                    process.setStopped(false);
                    process.terminate();
                });
        for (ProcessNodeHandle node : context.nodes) {
            if (!node.process().process().waitFor(EXIT_TIMEOUT_S, TimeUnit.SECONDS)) {
                checker.resourceLeaked(context.clock.nowUs(), node.name() + " is still there after SIGTERM");
                node.process().kill();
            }
        }
    }

    private void releaseResources() {
        context.nodes.stream()
                .filter(ProcessNodeHandle::isAlive)
                .forEach(node -> node.process().kill());
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
