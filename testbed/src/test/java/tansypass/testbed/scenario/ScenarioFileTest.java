package tansypass.testbed.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;
import tansypass.config.InvalidConfigException;
import tansypass.testbed.TestScenarios;

class ScenarioFileTest {

    private static List<String> errorsOf(String faultLines) {
        return assertThrows(
                        InvalidConfigException.class,
                        () -> ScenarioFile.parse(TestScenarios.SMALL + faultLines, "world"))
                .errors()
                .stream()
                .map(error -> error.line() + " " + error.key() + ": " + error.problem())
                .toList();
    }

    @Test
    void reportsInvalidFaultTargetWithLine() {
        assertEquals(
                List.of("23 faults[0].on: this kind of fault can't affect server-0; a link goes from a node to"
                        + " a server or node, or from clients to a node"),
                errorsOf(TestScenarios.fault("term", "\"server-0\"", "1s", "1s", "")));
        assertEquals(
                List.of("23 faults[0].on: \"server-9\" does not exist; the numbers go from 0 to 3"),
                errorsOf(TestScenarios.fault("kill", "\"server-9\"", "1s", "1s", "")));
        assertEquals(
                List.of("23 faults[0].on: a fault of a link needs the names of both ends, but the list has 1"),
                errorsOf(TestScenarios.fault("cut", "\"node-0\"", "1s", "1s", "")));
        assertEquals(
                List.of("23 faults[0].on: is a link between nodes, which exists only if the file has [fleet]"),
                errorsOf(TestScenarios.fault("cut", "\"node-0\", \"node-1\"", "1s", "1s", "")));
    }

    @Test
    void reportsUnknownKeysAndValuesWithLines() {
        assertEquals(
                List.of(
                        "22 faults[0].kind: \"burn\" is not allowed; allowed: one of kill, term, pause, drain,"
                                + " choke, hang,"
                                + " errors, silence, cut, delay, jitter, rate, reset,"
                                + " loss, half-open, duplicate, reorder",
                        "23 faults[0].on: a list is not allowed; allowed: a list of strings, each node-N, server-N,"
                                + " node-*,"
                                + " server-*, clients or discovery",
                        "26 faults[0].amuont: is not known; allowed here: kind, on, at, lasts, way, amount, time"),
                errorsOf(TestScenarios.fault("burn", "\"nobody\"", "1s", "1s", "amuont = 1.0")));
    }
}
