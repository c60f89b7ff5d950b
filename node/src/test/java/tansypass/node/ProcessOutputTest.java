package tansypass.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Deadlines while waiting for a child process's output. */
@Timeout(60)
class ProcessOutputTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(FakePeer.AWAIT_TIMEOUT_S);
    private static final Duration SHORT_TIMEOUT = Duration.ofMillis(50);
    /** Prints a line and then waits for input, which never comes. */
    private static final String SILENT_AFTER_ONE_LINE = "echo started; exec cat";

    private Process process;

    private ProcessOutput run(String shellCommand) throws IOException {
        process = new ProcessBuilder("/bin/sh", "-c", shellCommand).start();
        return new ProcessOutput(process.getInputStream());
    }

    @AfterEach
    void kill() {
        process.toHandle().destroyForcibly();
    }

    @Test
    void failsWithOutputSoFarWhenTextIsNotPrintedInTime() throws Exception {
        ProcessOutput output = run(SILENT_AFTER_ONE_LINE);
        output.awaitText("started\n", TIMEOUT);
        AssertionError failure = assertTimeoutPreemptively(
                TIMEOUT, () -> assertThrows(AssertionError.class, () -> output.awaitText("ready", SHORT_TIMEOUT)));
        assertEquals("did not print \"ready\" within PT0.05S; it printed: started\n", failure.getMessage());
    }

    @Test
    void failsWithOutputSoFarWhenOutputDoesNotEndInTime() throws Exception {
        ProcessOutput output = run(SILENT_AFTER_ONE_LINE);
        output.awaitText("started\n", TIMEOUT);
        AssertionError failure = assertTimeoutPreemptively(
                TIMEOUT, () -> assertThrows(AssertionError.class, () -> output.awaitEnd(SHORT_TIMEOUT)));
        assertEquals("did not end its output within PT0.05S; it printed: started\n", failure.getMessage());
    }

    @Test
    void failsWithWholeOutputWhenItEndsWithoutText() throws Exception {
        ProcessOutput output = run("echo started; echo stopped");
        AssertionError failure = assertThrows(AssertionError.class, () -> output.awaitText("ready", TIMEOUT));
        assertTrue(failure.getMessage().endsWith("it printed: started\nstopped\n"), failure.getMessage());
        assertEquals("started\nstopped\n", output.awaitEnd(TIMEOUT));
    }
}
