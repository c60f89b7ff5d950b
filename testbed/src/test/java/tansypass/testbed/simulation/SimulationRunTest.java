package tansypass.testbed.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import tansypass.testbed.TestScenarios;
import tansypass.testbed.invariant.InvariantChecker;
import tansypass.testbed.invariant.RunStatistics.End;

class SimulationRunTest {

    private static InvariantChecker run(String text, long seed) {
        return SimulationRun.run(TestScenarios.of(text), seed);
    }

    private static double servedShare(InvariantChecker checker) {
        return (double) checker.statistics().count(End.SERVED)
                / checker.statistics().offered();
    }

    @Test
    void tracesDependOnSeedOnly() {
        String scenario = TestScenarios.SMALL
                + TestScenarios.fault("kill", "\"node-1\"", "1s", "1s", "")
                + TestScenarios.fault("jitter", "\"node-*\", \"server-*\"", "0s", "4s", "time = \"5ms\"");
        assertEquals(run(scenario, 7).traceHash(), run(scenario, 7).traceHash());
        assertNotEquals(run(scenario, 7).traceHash(), run(scenario, 8).traceHash());
    }

    @Test
    void servesNearlyAllRequestsWithoutFaults() {
        InvariantChecker checker = run(TestScenarios.SMALL, 1);
        assertEquals(List.of(), checker.violations());
        assertTrue(servedShare(checker) > 0.99, () -> "served " + servedShare(checker));
        assertTrue(
                checker.statistics().offered() > 300,
                () -> "offered " + checker.statistics().offered());
    }

    @Test
    void noFaultViolatesInvariants() {
        String scenario = TestScenarios.SMALL;
        for (String fault : List.of(
                TestScenarios.fault("kill", "\"server-0\"", "1s", "1s", ""),
                TestScenarios.fault("drain", "\"server-1\"", "1s", "2s", ""),
                TestScenarios.fault("choke", "\"server-1\"", "1s", "2s", "amount = 0.1"),
                TestScenarios.fault("hang", "\"server-2\"", "1s", "2s", ""),
                TestScenarios.fault("errors", "\"server-2\"", "1s", "2s", "amount = 0.5"),
                TestScenarios.fault("silence", "\"discovery\"", "1s", "2s", ""),
                TestScenarios.fault("cut", "\"node-0\", \"server-1\"", "1s", "2s", "way = \"back\""),
                TestScenarios.fault("reset", "\"node-0\", \"server-*\"", "1s", "500ms", ""),
                TestScenarios.fault("loss", "\"node-0\", \"server-*\"", "1s", "1s", "amount = 0.3"),
                TestScenarios.fault("half-open", "\"node-*\", \"server-0\"", "500ms", "3s", ""),
                TestScenarios.fault("rate", "\"node-1\", \"server-*\"", "1s", "1s", "amount = 20000.0"),
                TestScenarios.fault("cut", "\"clients\", \"node-0\"", "2s", "1s", ""),
                TestScenarios.fault("reset", "\"clients\", \"node-1\"", "2s", "1s", ""),
                TestScenarios.fault("pause", "\"node-1\"", "1s", "800ms", ""),
                TestScenarios.fault("term", "\"node-1\"", "1s", "2s", ""))) {
            scenario += fault;
            assertEquals(List.of(), run(TestScenarios.SMALL + fault, 3).violations(), fault);
        }
        assertEquals(List.of(), run(scenario, 3).violations());
    }

    @Test
    void faultsReduceServedRequests() {
        double baseline = servedShare(run(TestScenarios.SMALL, 5));
        double hung =
                servedShare(run(TestScenarios.SMALL + TestScenarios.fault("hang", "\"server-*\"", "1s", "2s", ""), 5));
        double cut = servedShare(
                run(TestScenarios.SMALL + TestScenarios.fault("cut", "\"node-*\", \"server-*\"", "1s", "2s", ""), 5));
        assertTrue(hung < baseline - 0.3 && cut < baseline - 0.3, () -> baseline + ", " + hung + ", " + cut);
    }

    @Test
    void countsRequestsNotSentUnderOverload() {
        InvariantChecker checker = run(TestScenarios.SMALL.replace("rate = 100.0", "rate = 5000.0\nmost = 50"), 1);
        assertTrue(
                checker.statistics().count(End.NOT_SENT) > 1_000,
                () -> checker.statistics().endsBySecond().toString());
        assertEquals(List.of(), checker.violations());
    }
}
