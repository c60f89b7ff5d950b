package tansypass.testbed.exploration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tansypass.cluster.membership.MembershipSettings;
import tansypass.testbed.TestScenarios;
import tansypass.testbed.invariant.Invariant;
import tansypass.testbed.invariant.InvariantChecker;
import tansypass.testbed.scenario.Scenario;
import tansypass.testbed.scenario.ScenarioToml;
import tansypass.testbed.simulation.NodeParts;
import tansypass.testbed.simulation.SimulationRun;

/**
 * Exploring schedules finds the violations that faulty membership settings cause, and finds no violation with the
 * product's settings.
 */
@Timeout(120)
class MembershipFaultsTest {
    private static final long BUDGET_MS = 40_000;
    private static final int MAX_RUNS = 60;
    private static final Scenario SCENARIO = TestScenarios.of(TestScenarios.SMALL
                    .replace("[clients]", """
            [fleet]
            period = "200ms"
            [clients]""")
                    .replaceFirst("length = \"[^\"]*\"", "length = \"8s\"")
                    .replaceFirst("(?m)^settle = .*$", "settle = \"6s\"")
            + TestScenarios.fault("cut", "\"node-1\", \"node-*\"", "1s", "4s", ""));

    private static Optional<ScheduleExplorer.Finding> explore(NodeParts parts) throws InterruptedException {
        return new ScheduleExplorer(SCENARIO, (scenario, seed) -> SimulationRun.run(scenario, seed, parts))
                .explore(1, BUDGET_MS, MAX_RUNS, 2)
                .finding();
    }

    private static void assertFinds(Invariant invariant, NodeParts faultyParts) throws InterruptedException {
        ScheduleExplorer.Finding found = explore(faultyParts)
                .orElseThrow(() -> new AssertionError("no violation found in " + MAX_RUNS + " schedules"));
        assertEquals(invariant, found.violation().invariant(), found.toString());
        assertTrue(found.smallestScenario().faults().size() <= 1, found.toString());
        Scenario reloaded = TestScenarios.of(ScenarioToml.of(found.smallestScenario()));
        InvariantChecker replayed = SimulationRun.run(reloaded, found.seed(), faultyParts);
        assertTrue(replayed.violations().contains(found.violation()), found + " is not in " + replayed.violations());
        assertEquals(List.of(), SimulationRun.run(reloaded, found.seed()).violations());
    }

    @Test
    void findsNoViolationInProductMembership() throws InterruptedException {
        assertEquals(Optional.empty(), explore(NodeParts.PRODUCT));
    }

    @Test
    void findsFailureDetectionWithoutSuspicion() throws InterruptedException {
        assertFinds(Invariant.MEMBER_FAILED, new NodeParts() {
            @Override
            public MembershipSettings membershipSettings(MembershipSettings settings) {
                return new MembershipSettings(
                        settings.periodUs(),
                        settings.probesPerPeriod(),
                        100,
                        settings.indirectProbes(),
                        settings.gossipIntervalUs(),
                        settings.gossipFanout(),
                        1e-4,
                        1,
                        settings.retransmitMultiplier(),
                        settings.pushPullIntervalUs(),
                        settings.reconnectIntervalUs(),
                        settings.reapDelayUs(),
                        settings.maxMembers());
            }
        });
    }

    @Test
    void findsMissingReconnectionAfterPartition() throws InterruptedException {
        long neverUs = 100_000_000_000L;
        assertFinds(Invariant.MEMBERS_AGREE, new NodeParts() {
            @Override
            public MembershipSettings membershipSettings(MembershipSettings settings) {
                return new MembershipSettings(
                        settings.periodUs(),
                        settings.probesPerPeriod(),
                        settings.probeTimeoutUs(),
                        settings.indirectProbes(),
                        settings.gossipIntervalUs(),
                        settings.gossipFanout(),
                        settings.suspicionMultiplier(),
                        settings.maxSuspicionMultiplier(),
                        settings.retransmitMultiplier(),
                        neverUs,
                        neverUs,
                        settings.reapDelayUs(),
                        settings.maxMembers());
            }
        });
    }
}
