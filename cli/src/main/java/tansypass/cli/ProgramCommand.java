package tansypass.cli;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Builds the command line that starts this program in another process. */
final class ProgramCommand {
    /** The JVM flags that keep a node within the platform's limits: small memory areas and a fast start. */
    private static final List<String> JVM_FLAGS = List.of(
            "-Dio.netty.jfr.enabled=false",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-XX:-UsePerfData",
            "-Xshare:auto",
            "-Xmx64m",
            "-Xss512k",
            "-XX:MaxDirectMemorySize=24m");

    private ProgramCommand() {}

    /** Returns the command for these arguments, as a modifiable list to which more arguments can be appended. */
    static List<String> of(String... arguments) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(JVM_FLAGS);
        // In a test, java.class.path may name only a jar whose manifest contains the class path. Surefire's own
        // property then contains the complete class path.
        command.addAll(List.of(
                "-cp",
                System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")),
                Main.class.getName()));
        command.addAll(List.of(arguments));
        return command;
    }
}
