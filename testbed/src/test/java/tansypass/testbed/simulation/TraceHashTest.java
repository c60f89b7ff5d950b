package tansypass.testbed.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.lang.reflect.RecordComponent;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import tansypass.cluster.membership.MemberState;
import tansypass.cluster.membership.MembershipSettings;
import tansypass.config.InvalidConfigException;
import tansypass.config.NodeFile.Idempotency;
import tansypass.testbed.TestScenarios;
import tansypass.testbed.invariant.Invariant;
import tansypass.testbed.invariant.InvariantChecker;
import tansypass.testbed.invariant.MembershipInvariantChecker;
import tansypass.testbed.invariant.RunStatistics;
import tansypass.testbed.scenario.Scenario;
import tansypass.testbed.scenario.ScenarioFile;

/**
 * Runs in virtual time give the traces that were recorded before the classes were split. A trace covers each
 * event of clients, servers, discovery and violations with its time, so a change of behaviour in the testbed,
 * the balancer or the membership protocol shows here.
 *
 * <p>After a change of behaviour that is wanted, replace the lines of {@code trace-hashes.txt} by those that
 * the failure prints, in the commit of that change.
 */
class TraceHashTest {
    private static final int SEEDS = 10;
    /** Seconds a run, where others take a tenth of one: these are run with one seed. */
    private static final Set<String> LARGE = Set.of("members-20", "members-50");

    private static final String RECORDED = "trace-hashes.txt";

    private static final String ALL_FAULTS = TestScenarios.SMALL
            + TestScenarios.fault("kill", "\"server-0\"", "1s", "1s", "")
            + TestScenarios.fault("drain", "\"server-1\"", "1s", "2s", "")
            + TestScenarios.fault("choke", "\"server-1\"", "1s", "2s", "amount = 0.1")
            + TestScenarios.fault("hang", "\"server-2\"", "1s", "2s", "")
            + TestScenarios.fault("errors", "\"server-2\"", "1s", "2s", "amount = 0.5")
            + TestScenarios.fault("silence", "\"discovery\"", "1s", "2s", "")
            + TestScenarios.fault("cut", "\"node-0\", \"server-1\"", "1s", "2s", "way = \"back\"")
            + TestScenarios.fault("reset", "\"node-0\", \"server-*\"", "1s", "500ms", "")
            + TestScenarios.fault("loss", "\"node-0\", \"server-*\"", "1s", "1s", "amount = 0.3")
            + TestScenarios.fault("half-open", "\"node-*\", \"server-0\"", "500ms", "3s", "")
            + TestScenarios.fault("rate", "\"node-1\", \"server-*\"", "1s", "1s", "amount = 20000.0")
            + TestScenarios.fault("cut", "\"clients\", \"node-0\"", "2s", "1s", "")
            + TestScenarios.fault("reset", "\"clients\", \"node-1\"", "2s", "1s", "")
            + TestScenarios.fault("pause", "\"node-1\"", "1s", "800ms", "")
            + TestScenarios.fault("kill", "\"node-0\"", "2500ms", "500ms", "")
            + TestScenarios.fault("term", "\"node-1\"", "1s", "2s", "");

    private static final String MEMBERS = TestScenarios.SMALL.replace("[clients]", """
            [fleet]
            period = "200ms"
            [clients]""")
            + TestScenarios.fault("kill", "\"node-1\"", "1s", "1s", "")
            + TestScenarios.fault("cut", "\"node-0\", \"node-1\"", "2500ms", "1s", "")
            + TestScenarios.fault("term", "\"node-0\"", "3s", "500ms", "");

    private static final String OVERLOAD = TestScenarios.SMALL.replace("rate = 100.0", "rate = 2000.0\nmost = 50");

    /**
     * Sends every attempt twice, replaces each tenth answer and fails at each fiftieth: violations are traced
     * too.
     */
    private static final NodeParts FAULTY = new NodeParts() {
        @Override
        public SimulatedNetwork wrapNetwork(SimulatedNetwork network) {
            return new FaultyNetwork(network);
        }
    };

    private static final class FaultyNetwork extends ForwardingNetwork {
        private int answers;

        FaultyNetwork(SimulatedNetwork delegate) {
            super(delegate);
        }

        @Override
        public OutboundRequest send(String server, long request, boolean isFirstOnConnection, Callback callback) {
            super.send(server, request, isFirstOnConnection, callback);
            return super.send(server, request, isFirstOnConnection, callback);
        }

        @Override
        public void respond(long request, int status, String body) {
            answers++;
            super.respond(request, status, answers % 10 == 0 ? "invented" : body);
            if (answers % 50 == 0) {
                balancerFailed(new IllegalStateException("planted"));
            }
        }
    }

    private static String line(String name, long seed, InvariantChecker checker) {
        return name + " " + seed + " " + checker.traceHash();
    }

    private static Map<String, Scenario> scenarios() throws InvalidConfigException {
        Map<String, Scenario> scenarios = new LinkedHashMap<>();
        scenarios.put("small", TestScenarios.of(TestScenarios.SMALL));
        scenarios.put("all-faults", TestScenarios.of(ALL_FAULTS));
        scenarios.put("members-of-two", TestScenarios.of(MEMBERS));
        scenarios.put("overload", TestScenarios.of(OVERLOAD));
        for (String file :
                List.of("members-50", "members-20", "members", "annotated", "calm", "links", "rolling", "servers")) {
            scenarios.put(file, scenarioFile(file));
        }
        return scenarios;
    }

    private static Scenario scenarioFile(String name) throws InvalidConfigException {
        return ScenarioFile.read("../scenarios/" + name + ".toml");
    }

    private static List<String> recorded() throws IOException {
        try (InputStream in = TraceHashTest.class.getResourceAsStream(RECORDED)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8).lines().toList();
        }
    }

    @Test
    void runTracesEqualRecordedOnes() throws Exception {
        List<Supplier<String>> runs = new ArrayList<>();
        scenarios()
                .forEach((name, scenario) -> LongStream.rangeClosed(1, LARGE.contains(name) ? 1 : SEEDS)
                        .forEach(seed -> runs.add(() -> line(name, seed, SimulationRun.run(scenario, seed)))));
        Scenario small = TestScenarios.of(TestScenarios.SMALL);
        LongStream.rangeClosed(1, SEEDS)
                .forEach(seed -> runs.add(() -> line("violations", seed, SimulationRun.run(small, seed, FAULTY))));
        // Runs share nothing, so they may run side by side; the order of the lines stays.
        String actual = runs.parallelStream().map(Supplier::get).collect(Collectors.joining("\n"));
        assertEquals(
                recorded().stream().filter(line -> !line.startsWith("cluster ")).collect(Collectors.joining("\n")),
                actual);
    }

    @Test
    void clusterTracesEqualRecordedOnes() throws IOException {
        String actual = LongStream.rangeClosed(1, SEEDS)
                .parallel()
                .mapToObj(seed -> "cluster " + seed + " " + clusterTrace(seed))
                .collect(Collectors.joining("\n"));
        assertEquals(
                recorded().stream().filter(line -> line.startsWith("cluster ")).collect(Collectors.joining("\n")),
                actual);
    }

    /** A cluster of ten in virtual time with loss, a death, a stopped process and a partition. */
    private static String clusterTrace(long seed) {
        long second = 1_000_000;
        SimulatedCluster cluster = new SimulatedCluster(seed, MembershipSettings.DEFAULT, 10, List.of("a", "b"));
        cluster.startAll();
        cluster.setLossRate(0.1);
        cluster.run(10 * second);
        cluster.kill(3);
        cluster.setPaused(4, true);
        cluster.run(10 * second);
        cluster.setPaused(4, false);
        cluster.setLinkFilter((from, to) -> from % 2 == to % 2);
        cluster.run(20 * second);
        cluster.setLinkFilter((from, to) -> true);
        cluster.run(20 * second);
        return cluster.traceHash();
    }

    @Test
    void injectedFaultChangesTrace() throws IOException {
        InvariantChecker faulty = SimulationRun.run(TestScenarios.of(TestScenarios.SMALL), 1, FAULTY);
        assertTrue(faulty.violationCount() > 10, () -> "violations: " + faulty.violationCount());
        assertTrue(recorded().contains(line("violations", 1, faulty)));
        assertNotEquals(
                SimulationRun.run(TestScenarios.of(TestScenarios.SMALL), 1).traceHash(), faulty.traceHash());
    }

    /** Violations carry these names into the trace: renaming one changes traces that hold it. */
    @Test
    void namesInTracesAreUnchanged() {
        assertEquals(
                List.of(
                        "ANSWERED",
                        "REPEATED",
                        "DRAINING",
                        "INVENTED_ANSWER",
                        "INVENTED_REQUEST",
                        "DIED",
                        "LEAKED",
                        "MEMBER_FAILED",
                        "MEMBER_RETURNED",
                        "MEMBERS_AGREE"),
                names(Invariant.values()));
        assertEquals(List.of("SAFE", "KEYED", "UNSAFE"), names(Idempotency.values()));
        assertEquals(
                "Line[of=1, life=2.3, state=alive, incarnation=4]",
                new MembershipInvariantChecker.Line(1, "2.3", "alive", 4).toString());
        assertEquals(List.of("ALIVE", "SUSPECT", "FAILED", "LEFT"), names(MemberState.values()));
    }

    /** Reports take these keys from the code: from the names of constants and of record components. */
    @Test
    void namesInReportsAreUnchanged() {
        assertEquals(
                List.of("SERVED", "LATE", "REFUSED", "FAILED", "TIMED_OUT", "UNREACHABLE", "NOT_SENT"),
                names(RunStatistics.End.values()));
        assertEquals(
                List.of("kind", "count", "loss", "figure", "median", "worst", "seeds", "missing"),
                Arrays.stream(ClusterMetrics.Row.class.getRecordComponents())
                        .map(RecordComponent::getName)
                        .toList());
    }

    private static List<String> names(Enum<?>[] constants) {
        return Arrays.stream(constants).map(Enum::name).toList();
    }
}
