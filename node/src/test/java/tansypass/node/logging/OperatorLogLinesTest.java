package tansypass.node.logging;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Compares the table of log lines in docs/operations.md with the events. Upper-case words in the table are values. */
class OperatorLogLinesTest {
    private static final Path PAGE = Path.of("..", "docs", "operations.md");

    /** Returns the code spans in the first column of the table, each without its values. */
    private static Set<String> readLogLinesOfPage() throws Exception {
        String section = Files.readString(PAGE).split("## Log lines to act on")[1];
        Set<String> lines = new TreeSet<>();
        for (String row : section.lines().filter(l -> l.startsWith("| `")).toList()) {
            Matcher codeSpans = Pattern.compile("`([^`]+)`").matcher(row.split("\\|")[1]);
            while (codeSpans.find()) {
                lines.add(codeSpans.group(1).replaceAll("=[A-Z]+", "="));
            }
        }
        return lines;
    }

    @Test
    void pageListsExactlyTheEventsThatTheNodeLogs() throws Exception {
        Set<String> logged =
                Arrays.stream(LogEvent.values()).map(LogEvent::template).collect(Collectors.toCollection(TreeSet::new));
        assertEquals(logged, readLogLinesOfPage());
    }

    @Test
    void lineHasEachValueInItsPlaceWithoutGrouping() {
        assertEquals(
                List.of("server ejected server=10.0.0.1:80 failures=1234", "balancer call failed"),
                List.of(LogEvent.SERVER_EJECTED.line("10.0.0.1:80", 1_234), LogEvent.BALANCER_CALL_FAILED.line()));
    }
}
