package tansypass.testbed.process;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/**
 * Kills the child processes that are still running when the testbed ends, even if the testbed is killed. A helper
 * shell, which ignores the signals that end the testbed, receives the ids of the children over a pipe and kills the
 * remaining ones when the pipe closes. The children can't do this themselves: one that is stopped by SIGSTOP does
 * not notice that its parent has exited.
 */
final class ChildProcessReaper implements AutoCloseable {
    private static final String SCRIPT = """
            trap '' INT TERM HUP
            running=" "
            while read -r operation pid; do
                case $operation in
                +) running="$running$pid " ;;
                -) running=$(printf '%s' "$running" | sed "s/ $pid / /") ;;
                esac
            done
            for pid in $running; do kill -KILL "$pid" 2>/dev/null; done
            exit 0
            """;
    private static final long EXIT_TIMEOUT_S = 5;

    private final Process shell;
    private final OutputStream shellInput;

    ChildProcessReaper() throws IOException {
        shell = new ProcessBuilder("/bin/sh", "-c", SCRIPT)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
        shellInput = shell.getOutputStream();
    }

    /** Registers a child that was started. */
    synchronized void register(long pid) {
        writeLine("+ " + pid);
    }

    /** Deregisters a child that has exited: the system may give its id to another process. */
    synchronized void deregister(long pid) {
        writeLine("- " + pid);
    }

    private void writeLine(String line) {
        try {
            shellInput.write((line + "\n").getBytes(StandardCharsets.US_ASCII));
            shellInput.flush();
        } catch (IOException e) {
            throw new IllegalStateException("the shell that kills remaining child processes has exited", e);
        }
    }

    @Override
    public void close() {
        try {
            shellInput.close();
            if (!shell.waitFor(EXIT_TIMEOUT_S, TimeUnit.SECONDS)) {
                shell.destroyForcibly();
            }
        } catch (IOException e) {
            shell.destroyForcibly();
        } catch (InterruptedException e) {
            shell.destroyForcibly();
            Thread.currentThread().interrupt();
        }
    }
}
