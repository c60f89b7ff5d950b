package tansypass.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.stream.Stream;
import tansypass.testbed.invariant.InvariantChecker;
import tansypass.testbed.process.InsufficientResourcesException;
import tansypass.testbed.process.ProcessRun;
import tansypass.testbed.process.Progress;
import tansypass.testbed.scenario.Scenario;

/** Runs scenarios on processes of this program, which write their files and logs to one directory. */
final class ScenarioRunner {
    private ScenarioRunner() {}

    /**
     * Runs a scenario on real processes.
     *
     * @param keepDirectory the directory of files and logs; if empty, a temporary directory, which is deleted if no
     *     invariant was violated
     * @param out receives a line with the path of the directory if the directory is kept
     * @throws InsufficientResourcesException if the machine has too few resources
     * @throws IOException if the run could not be started or completed, see {@link ProcessRun#run}
     */
    static InvariantChecker runOnProcesses(
            Scenario scenario, long seed, Optional<Path> keepDirectory, Progress progress, PrintWriter out)
            throws IOException, InsufficientResourcesException, InterruptedException {
        Path directory = keepDirectory.isPresent()
                ? Files.createDirectories(keepDirectory.get())
                : Files.createTempDirectory("tansypass-testbed");
        boolean isKept = true;
        try {
            InvariantChecker checker =
                    ProcessRun.run(scenario, seed, ProgramCommand.of("node", "--with-parent"), directory, progress);
            isKept = keepDirectory.isPresent() || checker.violationCount() > 0;
            return checker;
        } finally {
            if (!isKept) {
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
