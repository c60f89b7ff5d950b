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

/** The process of a node: starts, signals and kills it. Lives on the run's event loop. */
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
     * @param command to which the node's file is added
     * @param onUnexpectedExit gets the reason of an exit that no fault caused, on the loop
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

    /** Starts it; throws UncheckedIOException if the command cannot be started. */
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
            throw new UncheckedIOException(name + " can't be started", e);
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

    /** Returns whether it is alive and stopped by SIGSTOP. */
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

    /** Sends SIGTERM; throws UncheckedIOException if no signal can be sent. */
    void terminate() {
        isExitExpected = true;
        // Not destroy(), which closes the child's standard input too: the child takes that for its
        // parent's exit.
        sendSignal("-TERM");
    }

    /** Sends SIGSTOP or SIGCONT; throws UncheckedIOException if no signal can be sent. */
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
            throw new UncheckedIOException("no signal can be sent", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns the last lines of its log, on one line. */
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
