package tansypass.testbed.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class ChildProcessReaperTest {
    private static final int EXIT_CODE_OF_SIGKILL = 128 + 9;

    @Test
    void killsStoppedChildButNotDeregisteredOne() throws Exception {
        Process stopped = new ProcessBuilder("sleep", "1000").start();
        Process deregistered = new ProcessBuilder("sleep", "1000").start();
        try {
            try (ChildProcessReaper reaper = new ChildProcessReaper()) {
                reaper.register(stopped.pid());
                reaper.register(deregistered.pid());
                assertEquals(
                        0,
                        new ProcessBuilder("kill", "-STOP", Long.toString(stopped.pid()))
                                .start()
                                .waitFor());
                reaper.deregister(deregistered.pid());
            }
            assertEquals(EXIT_CODE_OF_SIGKILL, stopped.waitFor());
            assertTrue(deregistered.isAlive());
        } finally {
            deregistered.destroyForcibly();
            stopped.destroyForcibly();
            assertTrue(deregistered.waitFor(20, TimeUnit.SECONDS));
        }
    }
}
