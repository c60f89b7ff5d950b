package tansypass.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import tansypass.testbed.invariant.InvariantChecker;
import tansypass.testbed.invariant.MembershipInvariantChecker;
import tansypass.testbed.invariant.MembershipInvariantChecker.Line;
import tansypass.testbed.report.Report;
import tansypass.testbed.scenario.Scenario;

/** Lists the texts and keys of reports and violations: scripts read them, and traces contain them. */
class ExternalNamesTest {
    private static final String TEXT = """
            small, seed 7: 1 requests, 1.0000 served in time, 1.000 attempts a request
            served 1, late 0, refused 0, failed 0, timed out 0, unreachable 0, not sent 0
            served, ms: p50 2.00, p90 2.00, p99 2.00, p99.9 2.00, most 2.00; the rig's own lateness, ms:\
             p50 0.00, p90 0.00, p99 0.00, p99.9 0.00, most 0.00
            the end of node-1 was seen after 1.00 s by the first, 1.00 s by the last of 1
            RULE BROKEN MEMBER_RETURNED at 3.000 s: in the view of node-0 node-1 came back by old news:\
             Line[of=1, life=b, state=failed, incarnation=0] to Line[of=1, life=b, state=alive, incarnation=0]
            1 breaches; trace HASH; again with: COMMAND
            """;

    private static final String JSON = """
            {"scenario":"small","seed":7,"command":"COMMAND","trace":"HASH","offered":1,"attempts":1,\
            "ends":{"served":1,"late":0,"refused":0,"failed":0,"timed_out":0,"unreachable":0,"not_sent":0},\
            "served_us":{"p50":2000,"p90":2000,"p99":2000,"p99.9":2000,"most":2000},\
            "rig_lateness_us":{"p50":0,"p90":0,"p99":0,"p99.9":0,"most":0},\
            "seconds":[{"served":1,"late":0,"refused":0,"failed":0,"timed_out":0,"unreachable":0,"not_sent":0,\
            "second":0}],"deaths":[{"node":1,"first_us":1000000,"last_us":1000000,"observers":1}],"broken":1,\
            "breaches":[{"rule":"MEMBER_RETURNED","at_us":3000000,"what":"VIOLATION"}]}""";

    @Test
    void keepsTextsAndKeysOfReports() {
        Scenario scenario = TestScenarios.of(TestScenarios.SMALL.replace("[clients]", "[fleet]\n[clients]"));
        InvariantChecker checker = new InvariantChecker(scenario);
        checker.requestSent(0, "x", scenario.classes().get(0), 0, 0, 400_000);
        int attempt = checker.attemptStarted(1_000, "x", 0);
        checker.responseProduced(2_000, "x", 0, "body");
        checker.attemptEnded(2_000, "x", attempt, false);
        checker.responseReceived(2_000, "x", 200, "body");
        MembershipInvariantChecker members = checker.membershipChecker().orElseThrow();
        members.setLiveProcess(1, "b");
        members.memberDied(1, 1_000_000);
        members.viewChanged(2_000_000, 0, "a", new Line(1, "b", "failed", 0));
        members.viewChanged(3_000_000, 0, "a", new Line(1, "b", "alive", 0));
        Report report = Report.of(scenario, 7, "COMMAND", checker);
        String hash = checker.traceHash();
        assertEquals(TEXT, report.toText().replace(hash, "HASH"));
        assertEquals(
                JSON,
                report.toJson()
                        .replaceAll("\"in the view .*\"", "\"VIOLATION\"")
                        .replace(hash, "HASH")
                        .replaceAll("\\n *", "")
                        .replace(": ", ":"));
    }
}
