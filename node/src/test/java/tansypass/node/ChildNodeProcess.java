package tansypass.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A node's program in a child process, whose standard error goes to its standard output. */
final class ChildNodeProcess {
    private static final String DEFAULT_JVM_FLAGS = "-XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xmx64m";

    private static final long BYTES_PER_KIB = 1_024;

    private static final Duration TIMEOUT = Duration.ofSeconds(FakePeer.AWAIT_TIMEOUT_S);

    /**
     * The child process. It is ended through its handle, because {@link Process#destroy} would close the output
     * stream.
     */
    private final Process process;

    private final ProcessOutput output;

    /**
     * Starts the program through a shell.
     *
     * @param program the class with the main method
     * @param configFile the path of the configuration, or null for none
     * @param shellPrefix shell commands to run before the program, each with its separator
     */
    ChildNodeProcess(Class<?> program, String configFile, String shellPrefix) throws IOException {
        this(program, configFile, shellPrefix, DEFAULT_JVM_FLAGS);
    }

    /**
     * Starts the program through a shell with other flags of the JVM.
     *
     * @param jvmFlags separated by spaces
     */
    ChildNodeProcess(Class<?> program, String configFile, String shellPrefix, String jvmFlags) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(
                "/bin/sh",
                "-c",
                shellPrefix + "exec \"$JAVA\" " + jvmFlags + " -cp \"$JARS\" '" + program.getName() + "'");
        Map<String, String> environment = builder.environment();
        Path java = Path.of(System.getProperty("java.home"), "bin", "java");
        environment.put("JAVA", java.toString());
        environment.put("JARS", System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")));
        environment.remove("LB_CONFIG");
        environment.remove("LB_LISTEN");
        environment.remove("LB_DISCOVERY");
        if (configFile != null) {
            environment.put("LB_CONFIG", configFile);
        }
        process = builder.redirectErrorStream(true).start();
        output = new ProcessOutput(process.getInputStream());
    }

    /** Returns the most memory that has been resident at any time, in bytes, as Linux counts it. */
    long readPeakMemoryBytes() throws IOException {
        return Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status")).stream()
                .filter(line -> line.startsWith("VmHWM:"))
                .mapToLong(line -> BYTES_PER_KIB * Long.parseLong(line.replaceAll("[^0-9]", "")))
                .findFirst()
                .orElseThrow();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Waits for the process to exit, for at most {@code limitMs}. */
    void awaitExit(long limitMs) throws InterruptedException {
        process.waitFor(limitMs, TimeUnit.MILLISECONDS);
    }

    /** Asserts that the process exits with the given code within {@link FakePeer#AWAIT_TIMEOUT_S}. */
    void assertExits(int code, String message) throws InterruptedException {
        assertTrue(process.waitFor(FakePeer.AWAIT_TIMEOUT_S, TimeUnit.SECONDS), "still running");
        assertEquals(code, process.exitValue(), message);
    }

    /** Sends SIGTERM. */
    void terminate() {
        process.toHandle().destroy();
    }

    /** Sends SIGHUP. */
    void hangUp() throws IOException, InterruptedException {
        Process kill = new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start();
        assertEquals(0, kill.waitFor());
    }

    /**
     * Waits until the program has printed the text. Fails after {@link FakePeer#AWAIT_TIMEOUT_S} with the output in its
     * message.
     */
    void awaitPrinted(String expected) throws InterruptedException {
        output.awaitText(expected, TIMEOUT);
    }

    /**
     * Waits for the end of the output and returns all of it. Fails after {@link FakePeer#AWAIT_TIMEOUT_S} with the
     * output so far in its message.
     */
    String awaitOutputEnd() throws InterruptedException {
        return output.awaitEnd(TIMEOUT);
    }

    /** Kills the process and returns its output. */
    String killAndReadOutput() {
        process.toHandle().destroyForcibly();
        try {
            return awaitOutputEnd();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return e.toString();
        }
    }

    /** Kills the process and waits for its end. */
    void kill() throws InterruptedException {
        process.toHandle().destroyForcibly();
        process.waitFor();
    }
}
