package tansypass.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;
import tansypass.testbed.invariant.InvariantChecker;
import tansypass.testbed.process.ProcessRun;
import tansypass.testbed.process.Progress;
import tansypass.testbed.scenario.Scenario;

/** Runs scenarios on processes of this program, with a directory for their files and logs. */
final class ScenarioRunner {
    private ScenarioRunner() {}

    /**
     * Runs a scenario on real processes.
     *
     * @param keepDirectory for files and logs, or null for a temporary directory, which is deleted if no invariant was
     *     violated
     * @param out receives the name of the directory if it is kept
     * @throws IOException if a process could not be started
     */
    static InvariantChecker runOnProcesses(
            Scenario scenario, long seed, Path keepDirectory, Progress progress, PrintWriter out)
            throws IOException, InterruptedException {
        boolean isTemporary = keepDirectory == null;
        Path directory =
                isTemporary ? Files.createTempDirectory("tansypass-testbed") : Files.createDirectories(keepDirectory);
        InvariantChecker checker = null;
        try {
            checker = ProcessRun.run(scenario, seed, ProgramCommand.of("node", "--with-parent"), directory, progress);
            return checker;
        } finally {
            if (isTemporary && checker != null && checker.violationCount() == 0) {
                delete(directory);
            } else {
                out.println("files and logs of the nodes: " + directory);
            }
        }
    }

    private static void delete(Path directory) throws IOException {
        try (Stream<Path> files = Files.list(directory)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(directory);
    }
}
