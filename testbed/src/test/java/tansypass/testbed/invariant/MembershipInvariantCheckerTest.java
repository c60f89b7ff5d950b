package tansypass.testbed.invariant;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import tansypass.testbed.TestScenarios;
import tansypass.testbed.invariant.MembershipInvariantChecker.Line;

/** Tests each invariant of membership views with events that violate it. */
class MembershipInvariantCheckerTest {
    private static final long US_PER_SECOND = 1_000_000;

    private final InvariantChecker checker =
            new InvariantChecker(TestScenarios.of(TestScenarios.SMALL.replace("[clients]", "[fleet]\n[clients]")));
    private final MembershipInvariantChecker members =
            checker.membershipChecker().orElseThrow();

    @BeforeEach
    void startMembers() {
        members.setLiveProcess(0, "a");
        members.setLiveProcess(1, "b");
    }

    private void changeView(long nowUs, String processKey, String state, long incarnation) {
        members.viewChanged(nowUs, 0, "a", new Line(1, processKey, state, incarnation));
    }

    private void assertViolations(Invariant... invariants) {
        assertEquals(
                List.of(invariants),
                checker.violations().stream().map(Violation::invariant).toList(),
                checker.violations().toString());
    }

    @Test
    void reportsFailureOfHealthyMember() {
        changeView(1, "b", "alive", 0);
        changeView(2, "b", "suspect", 0);
        assertViolations();
        changeView(3, "b", "failed", 0);
        changeView(4, "b", "failed", 0);
        assertViolations(Invariant.MEMBER_FAILED);
    }

    @Test
    void toleratesFailureDuringAndShortlyAfterFault() {
        members.faultChanged(1, true, 0);
        changeView(US_PER_SECOND, "b", "failed", 0);
        members.faultChanged(1, false, 2 * US_PER_SECOND);
        changeView(2 * US_PER_SECOND, "b", "alive", 1);
        changeView(20 * US_PER_SECOND, "b", "failed", 1);
        assertViolations();
        changeView(40 * US_PER_SECOND, "b", "alive", 2);
        changeView(41 * US_PER_SECOND, "b", "failed", 2);
        assertViolations(Invariant.MEMBER_FAILED);
    }

    @Test
    void measuresDetectionTimeOfEarlierProcess() {
        changeView(0, "b", "alive", 0);
        members.memberDied(1, US_PER_SECOND);
        members.setLiveProcess(1, "c");
        changeView(3 * US_PER_SECOND, "b", "failed", 0);
        assertViolations();
        assertEquals(2 * US_PER_SECOND, members.deaths().get(0).lastDetectionUs());
    }

    @Test
    void reportsReturnByOutdatedUpdate() {
        members.faultChanged(1, true, 0);
        changeView(1, "b", "failed", 3);
        changeView(2, "b", "alive", 4);
        assertViolations();
        changeView(3, "b", "failed", 4);
        changeView(4, "b", "alive", 4);
        assertViolations(Invariant.MEMBER_RETURNED);
        changeView(5, "c", "left", 0);
        changeView(6, "c", "alive", 9);
        assertViolations(Invariant.MEMBER_RETURNED, Invariant.MEMBER_RETURNED);
    }

    @Test
    void reportsViewsThatDifferFromRunningMembers() {
        members.checkAgreement(US_PER_SECOND, Map.of(0, Set.of(0, 1), 1, Set.of(0, 1)));
        assertViolations();
        members.checkAgreement(US_PER_SECOND, Map.of(0, Set.of(0, 1, 2), 1, Set.of(0, 1)));
        assertViolations(Invariant.MEMBERS_AGREE);
    }
}
