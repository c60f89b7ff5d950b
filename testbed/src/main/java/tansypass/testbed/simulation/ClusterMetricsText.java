package tansypass.testbed.simulation;

import java.util.List;
import java.util.Locale;
import tansypass.testbed.simulation.ClusterMetrics.Row;

/** Formats {@link ClusterMetrics} as a table for people. */
final class ClusterMetricsText {
    private ClusterMetricsText() {}

    /** Returns the rows as text, with a heading before each series of rows of the same cluster. */
    static String format(List<Row> rows) {
        StringBuilder text = new StringBuilder();
        String lastHeading = "";
        for (Row row : rows) {
            String heading = formatHeading(row);
            text.append(heading.equals(lastHeading) ? "" : heading);
            lastHeading = heading;
            text.append(formatRow(row));
        }
        return text.toString();
    }

    private static String formatHeading(Row row) {
        return String.format(
                Locale.ROOT,
                "%s, %d processes, %.0f %% of datagrams lost, %d seeds: median, worst%n",
                row.kind(),
                row.count(),
                row.loss() * 100,
                row.seeds());
    }

    private static String formatRow(Row row) {
        return String.format(
                Locale.ROOT,
                "  %-52s %10.2f %10.2f%s%n",
                row.figure(),
                row.median(),
                row.worst(),
                row.missing() == 0 ? "" : "  (never in " + row.missing() + ")");
    }
}
