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

/** Exploring schedules finds faulty membership settings, and no violation with the product's own. */
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
                .found();
    }

    private static void assertFinds(Invariant invariant, NodeParts faulty) throws InterruptedException {
        ScheduleExplorer.Finding found = explore(faulty).orElseThrow(() -> new AssertionError("not found"));
        assertEquals(invariant, found.violation().invariant(), found.toString());
        assertTrue(found.smallest().faults().size() <= 1, found.toString());
        Scenario reloaded = TestScenarios.of(ScenarioToml.of(found.smallest()));
        InvariantChecker replayed = SimulationRun.run(reloaded, found.seed(), faulty);
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
            public MembershipSettings membershipSettings(MembershipSettings own) {
                return new MembershipSettings(
                        own.periodUs(),
                        own.probesPerPeriod(),
                        100,
                        own.indirectProbes(),
                        own.gossipIntervalUs(),
                        own.gossipFanout(),
                        1e-4,
                        1,
                        own.retransmitMultiplier(),
                        own.pushPullIntervalUs(),
                        own.reconnectIntervalUs(),
                        own.reapDelayUs(),
                        own.maxMembers());
            }
        });
    }

    @Test
    void findsMissingReconnectionAfterPartition() throws InterruptedException {
        long never = 100_000_000_000L;
        assertFinds(Invariant.MEMBERS_AGREE, new NodeParts() {
            @Override
            public MembershipSettings membershipSettings(MembershipSettings own) {
                return new MembershipSettings(
                        own.periodUs(),
                        own.probesPerPeriod(),
                        own.probeTimeoutUs(),
                        own.indirectProbes(),
                        own.gossipIntervalUs(),
                        own.gossipFanout(),
                        own.suspicionMultiplier(),
                        own.maxSuspicionMultiplier(),
                        own.retransmitMultiplier(),
                        never,
                        never,
                        own.reapDelayUs(),
                        own.maxMembers());
            }
        });
    }
}
