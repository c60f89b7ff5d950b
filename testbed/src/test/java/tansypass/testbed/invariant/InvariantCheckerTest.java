package tansypass.testbed.invariant;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import tansypass.testbed.TestScenarios;
import tansypass.testbed.invariant.RunStatistics.End;
import tansypass.testbed.scenario.Scenario;
import tansypass.testbed.scenario.Scenario.RequestClass;

class InvariantCheckerTest {
    private static final long US_PER_MS = 1_000;
    private static final long DEADLINE_US = 400 * US_PER_MS;

    private final Scenario scenario = TestScenarios.of(TestScenarios.SMALL);
    private final RequestClass safe = scenario.classes().get(0);
    private final RequestClass keyed = scenario.classes().get(1);
    private final RequestClass unsafe = scenario.classes().get(2);
    private final InvariantChecker checker = new InvariantChecker(scenario);

    private void sendRequest(RequestClass requestClass) {
        checker.requestSent(0, "x", requestClass, 0, 0, DEADLINE_US);
    }

    private void assertViolations(Invariant... invariants) {
        assertEquals(
                List.of(invariants),
                checker.violations().stream().map(Violation::invariant).toList(),
                checker.violations().toString());
    }

    private void serve(int server) {
        int attempt = checker.attemptStarted(US_PER_MS, "x", server);
        checker.responseProduced(2 * US_PER_MS, "x", server, "body");
        checker.attemptEnded(2 * US_PER_MS, "x", attempt, false);
        checker.responseReceived(3 * US_PER_MS, "x", 200, "body");
    }

    @Test
    void acceptsResponseOfServerInTime() {
        sendRequest(unsafe);
        serve(0);
        checker.finish(9_000 * US_PER_MS);
        assertViolations();
        assertEquals(1, checker.statistics().count(End.SERVED));
        assertEquals(
                3.0 * US_PER_MS, (double) checker.statistics().servedLatencies().getMaxValue(), 10);
    }

    @Test
    void reportsResponseThatNoServerProduced() {
        sendRequest(safe);
        checker.responseReceived(3 * US_PER_MS, "x", 200, "body");
        assertViolations(Invariant.INVENTED_ANSWER);
    }

    @Test
    void reportsResponseProducedForAnotherRequest() {
        sendRequest(safe);
        checker.requestSent(0, "y", safe, 0, 0, DEADLINE_US);
        checker.attemptStarted(US_PER_MS, "y", 0);
        checker.responseProduced(2 * US_PER_MS, "y", 0, "body");
        checker.responseReceived(3 * US_PER_MS, "x", 200, "body");
        assertViolations(Invariant.INVENTED_ANSWER);
    }

    @Test
    void reportsInventedRequestButNotLateAttempt() {
        checker.attemptStarted(US_PER_MS, "z", 0);
        assertViolations(Invariant.INVENTED_REQUEST);
        sendRequest(safe);
        serve(0);
        checker.attemptStarted(4 * US_PER_MS, "x", 1);
        assertViolations(Invariant.INVENTED_REQUEST);
    }

    @Test
    void reportsRetryOfUnsafeRequestThatMayHaveRun() {
        sendRequest(unsafe);
        checker.attemptEnded(2 * US_PER_MS, "x", checker.attemptStarted(US_PER_MS, "x", 0), true);
        checker.attemptEnded(4 * US_PER_MS, "x", checker.attemptStarted(3 * US_PER_MS, "x", 1), false);
        assertViolations();
        checker.attemptStarted(5 * US_PER_MS, "x", 2);
        assertViolations(Invariant.REPEATED);
    }

    @Test
    void reportsRetryOfKeyedRequestOutsideItsGroup() {
        sendRequest(keyed);
        checker.attemptEnded(2 * US_PER_MS, "x", checker.attemptStarted(US_PER_MS, "x", 0), false);
        checker.attemptEnded(4 * US_PER_MS, "x", checker.attemptStarted(3 * US_PER_MS, "x", 1), false);
        assertViolations();
        checker.attemptStarted(5 * US_PER_MS, "x", 2);
        // The checker reports one violation for each of the two servers of the other cell, because each of them may
        // have executed the request.
        assertViolations(Invariant.REPEATED, Invariant.REPEATED);
    }

    @Test
    void reportsOverlappingAttemptsWithoutHedging() {
        sendRequest(safe);
        int first = checker.attemptStarted(US_PER_MS, "x", 0);
        int second = checker.attemptStarted(10 * US_PER_MS, "x", 1);
        checker.attemptEnded(55 * US_PER_MS, "x", first, false);
        assertViolations();
        checker.attemptStarted(60 * US_PER_MS, "x", 2);
        checker.attemptEnded(200 * US_PER_MS, "x", second, false);
        assertViolations(Invariant.REPEATED);
    }

    @Test
    void reportsRequestToDrainingServerAfterGrace() {
        checker.endpointNotified(0, 0, 1, true);
        sendRequest(safe);
        checker.attemptEnded(1_002 * US_PER_MS, "x", checker.attemptStarted(1_001 * US_PER_MS, "x", 1), false);
        assertViolations();
        checker.attemptStarted(1_051 * US_PER_MS, "x", 1);
        assertViolations(Invariant.DRAINING);
        checker.endpointNotified(1_060 * US_PER_MS, 0, 1, false);
        checker.attemptStarted(1_070 * US_PER_MS, "x", 1);
        assertEquals(
                1,
                checker.violations().stream()
                        .filter(b -> b.invariant() == Invariant.DRAINING)
                        .count());
    }

    @Test
    void nodeCountsAsNotifiedSixSecondsAfterListing() {
        checker.endpointListed(0, 1, true);
        checker.requestSent(0, "x", safe, 1, 7_000 * US_PER_MS, 7_400 * US_PER_MS);
        checker.attemptEnded(7_050 * US_PER_MS, "x", checker.attemptStarted(7_040 * US_PER_MS, "x", 1), false);
        assertViolations();
        checker.attemptStarted(7_060 * US_PER_MS, "x", 1);
        assertViolations(Invariant.DRAINING);
    }

    @Test
    void restartedNodeIsNotBoundByEarlierNotifications() {
        checker.endpointListed(0, 1, true);
        checker.endpointNotified(0, 0, 1, true);
        checker.endpointListed(900 * US_PER_MS, 1, false);
        checker.nodeStarted(1_000 * US_PER_MS, 0);
        checker.requestSent(0, "x", safe, 0, 9_000 * US_PER_MS, 9_400 * US_PER_MS);
        checker.attemptStarted(9_010 * US_PER_MS, "x", 1);
        assertViolations();
        checker.endpointListed(10_000 * US_PER_MS, 1, true);
        checker.nodeStarted(11_000 * US_PER_MS, 0);
        checker.requestSent(0, "y", safe, 0, 18_000 * US_PER_MS, 18_400 * US_PER_MS);
        checker.attemptStarted(18_100 * US_PER_MS, "y", 1);
        assertViolations(Invariant.DRAINING);
    }

    @Test
    void reportsMissingAndLateResponses() {
        sendRequest(safe);
        checker.responseReceived(DEADLINE_US + 549 * US_PER_MS, "x", 504, "");
        assertViolations();
        checker.requestSent(0, "y", safe, 0, 0, DEADLINE_US);
        checker.responseReceived(DEADLINE_US + 551 * US_PER_MS, "y", 504, "");
        assertViolations(Invariant.ANSWERED);
        checker.requestSent(0, "z", safe, 0, 0, DEADLINE_US);
        checker.connectionBroken(US_PER_MS, "z", false);
        assertViolations(Invariant.ANSWERED, Invariant.ANSWERED);
        checker.requestSent(0, "w", safe, 0, 0, DEADLINE_US);
        checker.finish(9_000 * US_PER_MS);
        assertViolations(Invariant.ANSWERED, Invariant.ANSWERED, Invariant.ANSWERED);
    }

    @Test
    void exemptsKilledAndPausedNodesFromAnswering() {
        sendRequest(safe);
        checker.exemptNode(US_PER_MS, 0).end(US_PER_MS);
        checker.connectionBroken(US_PER_MS, "x", false);
        checker.exemptNode(2 * US_PER_MS, 0).end(3_000 * US_PER_MS);
        checker.requestSent(0, "y", safe, 0, 0, DEADLINE_US);
        checker.responseReceived(3_010 * US_PER_MS, "y", 504, "");
        assertViolations();
        checker.requestSent(9_000 * US_PER_MS, "z", safe, 0, 9_000 * US_PER_MS, 9_400 * US_PER_MS);
        checker.responseTimedOut(10_000 * US_PER_MS, "z");
        assertViolations(Invariant.ANSWERED);
    }

    @Test
    void toleratesOneUnreadClosedConnectionInTwoHundred() {
        for (int i = 0; i < 399; i++) {
            checker.requestNotSent(0, 0);
        }
        sendRequest(safe);
        checker.connectionBroken(US_PER_MS, "x", true);
        checker.finish(9_000 * US_PER_MS);
        assertViolations();
        checker.requestSent(0, "y", safe, 0, 0, DEADLINE_US);
        checker.connectionBroken(US_PER_MS, "y", true);
        checker.requestSent(0, "z", safe, 0, 0, DEADLINE_US);
        checker.connectionBroken(US_PER_MS, "z", true);
        checker.finish(9_000 * US_PER_MS);
        assertViolations(Invariant.ANSWERED);
    }

    @Test
    void reportsAttemptInFlightAtEndAsLeaked() {
        sendRequest(safe);
        checker.attemptStarted(US_PER_MS, "x", 0);
        checker.responseReceived(2 * US_PER_MS, "x", 502, "");
        checker.finish(9_000 * US_PER_MS);
        assertViolations(Invariant.LEAKED);
    }
}
