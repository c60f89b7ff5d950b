package tansypass.testbed.process;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/**
 * Kills the child processes that are left when the testbed ends, however it ends: a shell that ignores the
 * testbed's signals knows their ids and kills them when the testbed's end of its pipe closes. A stopped child
 * cannot notice that itself.
 */
final class ChildProcessReaper implements AutoCloseable {
    private static final String SCRIPT = """
            trap '' INT TERM HUP
            left=" "
            while read -r what id; do
                case $what in
                +) left="$left$id " ;;
                -) left=$(printf '%s' "$left" | sed "s/ $id / /") ;;
                esac
            done
            for id in $left; do kill -KILL "$id" 2>/dev/null; done
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

    /** A child has been started. */
    synchronized void register(long pid) {
        writeLine("+ " + pid);
    }

    /** A child has ended, and its id may become another's. */
    synchronized void deregister(long pid) {
        writeLine("- " + pid);
    }

    private void writeLine(String line) {
        try {
            shellInput.write((line + "\n").getBytes(StandardCharsets.US_ASCII));
            shellInput.flush();
        } catch (IOException e) {
            throw new IllegalStateException("the reaper has exited", e);
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
