package tansypass.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import tansypass.cluster.runtime.RandomStreams;
import tansypass.testbed.invariant.InvariantChecker;
import tansypass.testbed.invariant.MembershipInvariantChecker;
import tansypass.testbed.invariant.MembershipInvariantChecker.Line;
import tansypass.testbed.model.WebServer;
import tansypass.testbed.report.Report;
import tansypass.testbed.scenario.Scenario;
import tansypass.testbed.simulation.ClusterMetrics;
import tansypass.testbed.simulation.EventQueue;

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

    private static final String CLUSTER_METRICS = """
            swim, 2 processes, 0 % of datagrams lost, 1 seeds: median, worst
              all agree after a start at once, s
              a death is seen by the first, s
              and by all, s
              all agree after a partition in halves of 60 s, s
              datagrams a second of a process at rest
              bytes a second of them
              bytes a second of full exchanges
              processor time a second of a process at rest, us
              wrongly failed in 90 s
              wrongly failed in an hour, of those that stand still
              wrongly failed in an hour, of the others
            heartbeats, 2 processes, 0 % of datagrams lost, 1 seeds: median, worst
              wrongly failed in an hour
            """;

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

    @Test
    void keepsTextsOfClusterMetrics() throws InterruptedException {
        ClusterMetrics metrics = new ClusterMetrics();
        metrics.measure("swim", 2, 0, 1, 1);
        metrics.measureFalsePositives("swim", 2, 0, true, 1, 1);
        metrics.measureFalsePositives("heartbeats", 2, 0, false, 1, 1);
        assertEquals(CLUSTER_METRICS, metrics.toText().replaceAll(" +[0-9]+\\.[0-9]{2}", ""));
    }

    @Test
    void keepsFieldsOfLoadReports() {
        Scenario scenario = TestScenarios.of(TestScenarios.SMALL.replace("cell = 2", "cell = 2\nreports = true"));
        EventQueue queue = new EventQueue();
        WebServer server = new WebServer("server-0", scenario.servers(), queue, RandomStreams.of(1, "server-0"));
        List<String> reports = new ArrayList<>();
        server.serve(
                scenario.classes().get(0),
                Optional.empty(),
                false,
                response -> reports.add(response.loadReport().orElseThrow()));
        queue.runUntil(10_000_000);
        assertEquals(1, reports.size());
        assertEquals("inflight=,queue=,util=", reports.get(0).replaceAll("[0-9.]+", ""));
    }
}
