package tansypass.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import tansypass.testbed.invariant.InvariantChecker;
import tansypass.testbed.invariant.RunStatistics.End;
import tansypass.testbed.process.InsufficientResourcesException;
import tansypass.testbed.process.NodeStartException;
import tansypass.testbed.process.ProcessRun;
import tansypass.testbed.process.Progress;
import tansypass.testbed.scenario.Scenario;
import tansypass.testbed.scenario.ScenarioFile;

/** Runs of scenarios on real processes of the program. */
@Timeout(120)
class ProcessRunTest {
    private static final String SCENARIO = """
            name = "test"
            length = "4s"
            settle = "2s"
            [nodes]
            count = 3
            [servers]
            count = 4
            [clients]
            rate = 60.0
            [[classes]]
            name = "search"
            repeat = "safe"
            [[classes]]
            name = "pay"
            """;
    private static final String FAULTS = """
            [[faults]]
            kind = "kill"
            on = ["node-1"]
            at = "1s"
            lasts = "200ms"
            [[faults]]
            kind = "cut"
            on = ["node-0", "server-3"]
            at = "1500ms"
            lasts = "1s"
            [[faults]]
            kind = "kill"
            on = ["server-2"]
            at = "2s"
            lasts = "500ms"
            """;

    @TempDir
    private Path folder;

    private Path writeFile(String text) throws IOException {
        return Files.writeString(folder.resolve("scenario.toml"), text);
    }

    @Test
    void violatesNoInvariantWhenProcessesAreKilledAndLinkIsCut() throws Exception {
        Scenario scenario = ScenarioFile.read(writeFile(SCENARIO + FAULTS).toString());
        InvariantChecker checker =
                ProcessRun.run(scenario, 7, ProgramCommand.of("node", "--with-parent"), folder, Progress.NONE);
        assertEquals(List.of(), checker.violations());
        assertTrue(
                checker.statistics().count(End.SERVED) > checker.statistics().offered() / 2,
                () -> checker.statistics().endsBySecond().toString());
        assertTrue(checker.statistics().count(End.UNREACHABLE) > 0, "no client was affected by the kill of a node");
    }

    @Test
    void reportsExitCodeOfNodeThatCannotStart() throws Exception {
        Scenario scenario = ScenarioFile.read(writeFile(SCENARIO).toString());
        NodeStartException rejection = assertThrows(
                NodeStartException.class,
                () -> ProcessRun.run(
                        scenario,
                        7,
                        ProgramCommand.of("node", "--with-parent", "--no-such-option"),
                        folder,
                        Progress.NONE));
        assertTrue(rejection.getMessage().contains("ended with code 2"), rejection.getMessage());
    }

    @Test
    void rejectsMoreProcessesThanFitBeforeStart() throws Exception {
        Scenario scenario = ScenarioFile.read(
                writeFile(SCENARIO.replace("count = 3", "count = 2000")).toString());
        InsufficientResourcesException rejection = assertThrows(
                InsufficientResourcesException.class,
                () -> ProcessRun.run(scenario, 7, List.of("nothing"), folder, Progress.NONE));
        assertTrue(rejection.getMessage().matches("2000 nodes wanted, [0-9]+ fit: .*"), rejection.getMessage());
    }

    @Test
    void endsChildProcessesWhenTestbedIsKilled() throws Exception {
        List<String> command = new ArrayList<>(ProgramCommand.of(
                "testbed",
                "run",
                writeFile(SCENARIO + """
                [[faults]]
                kind = "pause"
                on = ["node-0"]
                at = "0s"
                lasts = "10s"
                """).toString(),
                "--keep",
                folder.resolve("kept").toString()));
        Process testbed = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start();
        List<ProcessHandle> children = List.of();
        try {
            long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(60);
            // Waits until the scenario has paused a node, so the testbed is killed in the middle of the run.
            while (children.stream().noneMatch(ProcessRunTest::isPaused)) {
                assertTrue(testbed.isAlive() && System.nanoTime() < deadlineNs, "the scenario paused no node");
                children = testbed.descendants().toList();
                testbed.waitFor(20, TimeUnit.MILLISECONDS);
            }
            testbed.destroyForcibly().waitFor();
            for (ProcessHandle child : children) {
                child.onExit().get(30, TimeUnit.SECONDS);
            }
        } finally {
            testbed.destroyForcibly();
            children.forEach(ProcessHandle::destroyForcibly);
        }
    }

    private static boolean isPaused(ProcessHandle process) {
        try {
            String stat = Files.readString(Path.of("/proc", Long.toString(process.pid()), "stat"));
            return stat.substring(stat.lastIndexOf(')') + 1).trim().startsWith("T");
        } catch (IOException e) {
            return false;
        }
    }
}
