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
 * Compares the traces of runs in virtual time with recorded hashes, to detect any unintended change of behaviour in the
 * testbed, the balancer or the membership protocol. The hashes were recorded before the classes were split into their
 * present form. A trace covers each event of clients, servers and discovery and each violation, with its time.
 *
 * <p>After an intended change of behaviour, replace the lines of {@code trace-hashes.txt} by those that the failure
 * prints, in the commit of that change.
 */
class TraceHashTest {
    private static final int SEEDS = 10;
    /** Scenarios that run with one seed only, because a run takes seconds; other runs take a tenth of a second. */
    private static final Set<String> LARGE_SCENARIOS = Set.of("members-20", "members-50");

    private static final String HASHES_FILE = "trace-hashes.txt";

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

    private static final String CLUSTER_OF_TWO = TestScenarios.SMALL.replace("[clients]", """
            [fleet]
            period = "200ms"
            [clients]""")
            + TestScenarios.fault("kill", "\"node-1\"", "1s", "1s", "")
            + TestScenarios.fault("cut", "\"node-0\", \"node-1\"", "2500ms", "1s", "")
            + TestScenarios.fault("term", "\"node-0\"", "3s", "500ms", "");

    private static final String OVERLOAD = TestScenarios.SMALL.replace("rate = 100.0", "rate = 2000.0\nmost = 50");

    /**
     * Parts that send every attempt twice, replace each tenth response and report a failure of the balancer at each
     * fiftieth, so that traces with violations are covered too.
     */
    private static final NodeParts FAULTY_PARTS = new NodeParts() {
        @Override
        public SimulatedNetwork wrapNetwork(SimulatedNetwork network) {
            return new FaultyNetwork(network);
        }
    };

    private static final class FaultyNetwork extends ForwardingNetwork {
        private int responseCount;

        FaultyNetwork(SimulatedNetwork delegate) {
            super(delegate);
        }

        @Override
        public OutboundRequest send(String server, long requestId, boolean isFirstOnConnection, Callback callback) {
            super.send(server, requestId, isFirstOnConnection, callback);
            return super.send(server, requestId, isFirstOnConnection, callback);
        }

        @Override
        public void respond(long requestId, int status, String body) {
            responseCount++;
            super.respond(requestId, status, responseCount % 10 == 0 ? "invented" : body);
            if (responseCount % 50 == 0) {
                balancerFailed(new IllegalStateException("planted"));
            }
        }
    }

    /** Returns a line of the file of hashes. */
    private static String hashLine(String name, long seed, InvariantChecker checker) {
        return name + " " + seed + " " + checker.traceHash();
    }

    private static Map<String, Scenario> scenarios() throws InvalidConfigException {
        Map<String, Scenario> scenarios = new LinkedHashMap<>();
        scenarios.put("small", TestScenarios.of(TestScenarios.SMALL));
        scenarios.put("all-faults", TestScenarios.of(ALL_FAULTS));
        scenarios.put("members-of-two", TestScenarios.of(CLUSTER_OF_TWO));
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

    private static List<String> recordedLines() throws IOException {
        try (InputStream in = TraceHashTest.class.getResourceAsStream(HASHES_FILE)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8).lines().toList();
        }
    }

    @Test
    void runTracesEqualRecordedOnes() throws Exception {
        List<Supplier<String>> runs = new ArrayList<>();
        scenarios()
                .forEach((name, scenario) -> LongStream.rangeClosed(1, LARGE_SCENARIOS.contains(name) ? 1 : SEEDS)
                        .forEach(seed -> runs.add(() -> hashLine(name, seed, SimulationRun.run(scenario, seed)))));
        Scenario small = TestScenarios.of(TestScenarios.SMALL);
        LongStream.rangeClosed(1, SEEDS)
                .forEach(seed ->
                        runs.add(() -> hashLine("violations", seed, SimulationRun.run(small, seed, FAULTY_PARTS))));
        // The runs are independent, so they can run in parallel; the order of the lines stays the same.
        String actual = runs.parallelStream().map(Supplier::get).collect(Collectors.joining("\n"));
        assertEquals(
                recordedLines().stream()
                        .filter(line -> !line.startsWith("cluster "))
                        .collect(Collectors.joining("\n")),
                actual);
    }

    @Test
    void clusterTracesEqualRecordedOnes() throws IOException {
        String actual = LongStream.rangeClosed(1, SEEDS)
                .parallel()
                .mapToObj(seed -> "cluster " + seed + " " + clusterTraceHash(seed))
                .collect(Collectors.joining("\n"));
        assertEquals(
                recordedLines().stream()
                        .filter(line -> line.startsWith("cluster "))
                        .collect(Collectors.joining("\n")),
                actual);
    }

    /** Returns the trace hash of a cluster of ten with datagram loss, a death, a paused member and a partition. */
    private static String clusterTraceHash(long seed) {
        long secondUs = 1_000_000;
        SimulatedCluster cluster = new SimulatedCluster(seed, MembershipSettings.DEFAULT, 10, List.of("a", "b"));
        cluster.startAll();
        cluster.setLossRate(0.1);
        cluster.run(10 * secondUs);
        cluster.kill(3);
        cluster.setPaused(4, true);
        cluster.run(10 * secondUs);
        cluster.setPaused(4, false);
        cluster.setLinkFilter((from, to) -> from % 2 == to % 2);
        cluster.run(20 * secondUs);
        cluster.setLinkFilter((from, to) -> true);
        cluster.run(20 * secondUs);
        return cluster.traceHash();
    }

    @Test
    void injectedFaultChangesTrace() throws IOException {
        InvariantChecker faulty = SimulationRun.run(TestScenarios.of(TestScenarios.SMALL), 1, FAULTY_PARTS);
        assertTrue(faulty.violationCount() > 10, () -> "violations: " + faulty.violationCount());
        assertTrue(recordedLines().contains(hashLine("violations", 1, faulty)));
        assertNotEquals(
                SimulationRun.run(TestScenarios.of(TestScenarios.SMALL), 1).traceHash(), faulty.traceHash());
    }

    /** Traces contain these names in the texts of violations, so renaming one of them changes the hashes. */
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

    /** The names of these constants and record components are keys of reports. */
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
