package tansypass.node.lifecycle;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The number of files and sockets that this process may have open, as set by {@code ulimit -n}. */
public final class OpenFileLimit {
    private static final Path LIMITS_FILE = Path.of("/proc/self/limits");
    private static final String ROW_LABEL = "Max open files";

    private OpenFileLimit() {}

    /**
     * Returns the soft limit of this process, or Integer.MAX_VALUE if it is unknown. The limit is read from /proc.
     * The management classes of the Java runtime report it too, but take tens of milliseconds to load.
     */
    public static int read() {
        try {
            return parse(Files.readString(LIMITS_FILE));
        } catch (IOException e) {
            // The system is not Linux, or /proc is not mounted.
            return Integer.MAX_VALUE;
        }
    }

    /** Returns the soft limit in the text of /proc/self/limits, or Integer.MAX_VALUE if the text has none. */
    static int parse(String limits) {
        for (String line : limits.split("\n")) {
            if (line.startsWith(ROW_LABEL)) {
                String softLimit = line.substring(ROW_LABEL.length()).strip().split("\\s+")[0];
                return softLimit.matches("\\d{1,9}") ? Integer.parseInt(softLimit) : Integer.MAX_VALUE;
            }
        }
        return Integer.MAX_VALUE;
    }
}
