package tansypass.testbed.process;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Starts, signals and kills the process of a node. Used only on the run's event loop. */
final class NodeProcess {
    private static final long SIGNAL_TIMEOUT_S = 5;
    private static final int LOG_TAIL_LINES = 5;

    private final String name;
    private final List<String> command;
    private final Path configFile;
    private final Path logFile;
    private final ChildProcessReaper reaper;
    private final EventLoop loop;
    private final Consumer<String> onUnexpectedExit;
    private Process process;
    private boolean isExitExpected;
    private boolean isStopped;

    /**
     * Creates a process that is not started yet.
     *
     * @param command the command that starts a node when the path of its configuration file is appended
     * @param onUnexpectedExit is called on the event loop with the reason if the process exits and no fault caused it
     */
    NodeProcess(
            String name,
            List<String> command,
            Path configFile,
            Path logFile,
            ChildProcessReaper reaper,
            EventLoop loop,
            Consumer<String> onUnexpectedExit) {
        this.name = name;
        this.command = command;
        this.configFile = configFile;
        this.logFile = logFile;
        this.reaper = reaper;
        this.loop = loop;
        this.onUnexpectedExit = onUnexpectedExit;
    }

    /** Starts the process; throws UncheckedIOException if the command can't be executed. */
    void start() {
        List<String> arguments = new ArrayList<>(command);
        arguments.add(configFile.toString());
        ProcessBuilder builder = new ProcessBuilder(arguments)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile.toFile()));
        builder.environment().keySet().removeIf(key -> key.startsWith("LB_") || key.startsWith("TANSYPASS_"));
        isExitExpected = false;
        isStopped = false;
        Process started;
        try {
            started = builder.start();
        } catch (IOException e) {
            throw new UncheckedIOException("process of " + name + " can't be started: " + arguments, e);
        }
        process = started;
        reaper.register(started.pid());
        started.onExit().thenRun(() -> {
            reaper.deregister(started.pid());
            loop.execute(() -> {
                if (process == started && !isExitExpected) {
                    isExitExpected = true;
                    onUnexpectedExit.accept("ended with code " + started.exitValue() + ": " + logTail());
                }
            });
        });
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** Returns whether the process is alive and stopped by SIGSTOP. */
    boolean isStopped() {
        return isAlive() && isStopped;
    }

    Process process() {
        return process;
    }

    /** Sends SIGKILL. */
    void kill() {
        isExitExpected = true;
        process.destroyForcibly();
    }

    /** Sends SIGTERM; throws UncheckedIOException if the signal can't be sent. */
    void terminate() {
        isExitExpected = true;
        // Not destroy(): it also closes the child's standard input, which the child takes for the exit of its parent.
        sendSignal("-TERM");
    }

    /** Sends SIGSTOP or SIGCONT if that changes the state; throws UncheckedIOException if the signal can't be sent. */
    void setStopped(boolean stopped) {
        if (isAlive() && isStopped != stopped) {
            isStopped = stopped;
            sendSignal(stopped ? "-STOP" : "-CONT");
        }
    }

    private void sendSignal(String option) {
        try {
            Process kill = new ProcessBuilder("kill", option, Long.toString(process.pid())).start();
            if (!kill.waitFor(SIGNAL_TIMEOUT_S, TimeUnit.SECONDS)) {
                kill.destroyForcibly();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(
                    "signal " + option + " can't be sent to process " + process.pid() + " of " + name, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns the last lines of the process's log, joined into one line. */
    String logTail() {
        try {
            List<String> lines =
                    Files.readString(logFile, StandardCharsets.UTF_8).lines().toList();
            return String.join(" | ", lines.subList(Math.max(0, lines.size() - LOG_TAIL_LINES), lines.size()));
        } catch (IOException e) {
            return "(no log: " + e.getMessage() + ")";
        }
    }
}
