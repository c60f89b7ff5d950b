package tansypass.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.SimpleFormatter;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tansypass.node.discovery.EndpointList;
import tansypass.node.logging.LogEvent;

/** The table of log lines in docs/operations.md, in which upper-case words stand for values. */
@Timeout(120)
class OperatorLogLinesTest extends RunningNodeTestBase {
    private static final Path PAGE = Path.of("..", "docs", "operations.md");
    private static final Logger ALL_LOGGERS = Logger.getLogger("tansypass");

    /** Of the decision module: {@code OutlierDetectionTest} has servers ejected and restored. */
    private static final Set<String> EJECTION_LINES = Set.of("ejected server S after N failures", "restored server S");

    private final BlockingQueue<String> logged = new LinkedBlockingQueue<>();
    private final Handler handler = new Handler() {
        @Override
        public void publish(LogRecord line) {
            logged.add(new SimpleFormatter().formatMessage(line));
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    };

    @BeforeEach
    void captureLog() {
        ALL_LOGGERS.addHandler(handler);
    }

    @AfterEach
    void releaseLog() {
        ALL_LOGGERS.removeHandler(handler);
    }

    /** Returns the code spans in the first column of the table. */
    private static List<String> readPage() throws Exception {
        String section = Files.readString(PAGE).split("## Log lines to act on")[1];
        List<String> lines = new ArrayList<>();
        for (String row : section.lines().filter(l -> l.startsWith("| `")).toList()) {
            Matcher code = Pattern.compile("`([^`]+)`").matcher(row.split("\\|")[1]);
            while (code.find()) {
                lines.add(code.group(1));
            }
        }
        return lines;
    }

    private static String withoutValues(String line) {
        return line.replaceAll("=[A-Z]+", "=");
    }

    private static boolean isEvent(String line) {
        return Arrays.stream(LogEvent.values()).anyMatch(e -> e.template().equals(withoutValues(line)));
    }

    @Test
    void everyEventIsOnThePage() throws Exception {
        List<String> page =
                readPage().stream().map(OperatorLogLinesTest::withoutValues).toList();
        for (LogEvent event : LogEvent.values()) {
            assertTrue(page.contains(event.template()), event + " is not on the page: " + event.template());
        }
    }

    /** The lines that are no {@link LogEvent} are logged by a list with conflicting entries and by an empty one. */
    @Test
    void everyOtherLineOnThePageIsLogged() throws Exception {
        Set<String> missing = new TreeSet<>(readPage());
        missing.removeIf(OperatorLogLinesTest::isEvent);
        missing.removeAll(EJECTION_LINES);
        logConflictingEntries();
        node = new RunningNode(Fixture.createConfig(discovery.peer));
        List<String> lines = List.copyOf(logged);
        missing.removeIf(expected -> lines.stream().anyMatch(toPattern(expected).asMatchPredicate()));
        assertEquals(Set.of(), missing, "lines that were not logged");
    }

    private static void logConflictingEntries() {
        String entry = "{\"uid\":\"a\",\"endpoint\":\"127.0.0.1:%d\",\"state\":\"Ready\"}";
        EndpointList.parse(
                "{\"rev\":7,\"all\":true,\"targets\":[" + entry.formatted(1) + "," + entry.formatted(2) + "]}");
    }

    private static Pattern toPattern(String line) {
        return Pattern.compile(line.replaceAll("\\b[A-Z]+\\b", "\\\\S+"));
    }
}
