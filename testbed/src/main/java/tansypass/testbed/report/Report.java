package tansypass.testbed.report;

import com.google.gson.GsonBuilder;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.List;
import java.util.Locale;
import java.util.function.ToLongFunction;
import org.HdrHistogram.Histogram;
import tansypass.testbed.invariant.InvariantChecker;
import tansypass.testbed.invariant.MembershipInvariantChecker;
import tansypass.testbed.invariant.MembershipInvariantChecker.Death;
import tansypass.testbed.invariant.RunStatistics;
import tansypass.testbed.invariant.RunStatistics.End;
import tansypass.testbed.invariant.Violation;
import tansypass.testbed.scenario.Scenario;

/** The result of a run, as text for operators and as JSON for programs. */
public final class Report {
    private static final double[] PERCENTILES = {50, 90, 99, 99.9};

    private final Scenario scenario;
    private final long seed;
    private final String command;
    private final InvariantChecker checker;

    private Report(Scenario scenario, long seed, String command, InvariantChecker checker) {
        this.scenario = scenario;
        this.seed = seed;
        this.command = command;
        this.checker = checker;
    }

    /**
     * Creates the report of a run that is over.
     *
     * @param command the command that repeats the run
     */
    public static Report of(Scenario scenario, long seed, String command, InvariantChecker checker) {
        return new Report(scenario, seed, command, checker);
    }

    /** Returns whether the run had no violations. */
    public boolean hasNoViolations() {
        return checker.violationCount() == 0;
    }

    /** Returns the fraction of the due requests, 0 to 1, that were served in time. */
    public double servedShare() {
        return (double) checker.statistics().count(End.SERVED)
                / Math.max(1, checker.statistics().offered());
    }

    /** Returns a summary of a few lines. */
    public String toText() {
        RunStatistics statistics = checker.statistics();
        StringBuilder text = new StringBuilder();
        appendLine(
                text,
                "%s, seed %d: %d requests, %.4f served in time, %.3f attempts a request",
                scenario.name(),
                seed,
                statistics.offered(),
                servedShare(),
                (double) statistics.attempts() / Math.max(1, statistics.offered()));
        StringBuilder endsText = new StringBuilder();
        for (End end : End.values()) {
            endsText.append(endsText.isEmpty() ? "" : ", ")
                    .append(displayName(end))
                    .append(' ')
                    .append(statistics.count(end));
        }
        appendLine(text, "%s", endsText);
        appendLine(
                text,
                "served, ms: %s; the rig's own lateness, ms: %s",
                formatPercentiles(statistics.servedLatencies()),
                formatPercentiles(statistics.sendLateness()));
        appendDeaths(text);
        appendViolations(text);
        return text.toString();
    }

    private void appendDeaths(StringBuilder text) {
        for (Death death : deaths()) {
            appendLine(
                    text,
                    "the end of node-%d was seen after %.2f s by the first, %.2f s by the last of %d",
                    death.node(),
                    death.firstDetectionUs() / 1e6,
                    death.lastDetectionUs() / 1e6,
                    death.observerCount());
        }
    }

    private void appendViolations(StringBuilder text) {
        for (Violation violation : checker.violations()) {
            appendLine(text, "RULE BROKEN %s", violation);
        }
        if (hasNoViolations()) {
            appendLine(text, "rules kept; trace %s", checker.traceHash());
        } else {
            appendLine(
                    text,
                    "%d breaches; trace %s; again with: %s",
                    checker.violationCount(),
                    checker.traceHash(),
                    command);
        }
    }

    private List<Death> deaths() {
        return checker.membershipChecker()
                .map(MembershipInvariantChecker::deaths)
                .orElse(List.of());
    }

    private static void appendLine(StringBuilder text, String format, Object... values) {
        text.append(String.format(Locale.ROOT, format, values)).append('\n');
    }

    private static String displayName(End end) {
        return end.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }

    private static String formatPercentiles(Histogram histogram) {
        StringBuilder text = new StringBuilder();
        for (double percentile : PERCENTILES) {
            text.append(String.format(
                    Locale.ROOT,
                    "p%s %.2f, ",
                    String.valueOf(percentile).replace(".0", ""),
                    histogram.getValueAtPercentile(percentile) / 1e3));
        }
        return text + String.format(Locale.ROOT, "most %.2f", histogram.getMaxValue() / 1e3);
    }

    /** Returns the complete report as JSON; times are microseconds. */
    public String toJson() {
        RunStatistics statistics = checker.statistics();
        JsonObject json = new JsonObject();
        json.addProperty("scenario", scenario.name());
        json.addProperty("seed", seed);
        json.addProperty("command", command);
        json.addProperty("trace", checker.traceHash());
        json.addProperty("offered", statistics.offered());
        json.addProperty("attempts", statistics.attempts());
        json.add("ends", endsJson(statistics::count));
        json.add("served_us", histogramJson(statistics.servedLatencies()));
        json.add("rig_lateness_us", histogramJson(statistics.sendLateness()));
        json.add("seconds", secondsJson());
        json.add("deaths", deathsJson());
        json.addProperty("broken", checker.violationCount());
        json.add("breaches", violationsJson());
        return new GsonBuilder().setPrettyPrinting().create().toJson(json) + "\n";
    }

    private JsonArray secondsJson() {
        JsonArray seconds = new JsonArray();
        checker.statistics().endsBySecond().forEach((second, endCounts) -> {
            JsonObject row = endsJson(end -> endCounts.getOrDefault(end, 0L));
            row.addProperty("second", second);
            seconds.add(row);
        });
        return seconds;
    }

    private JsonArray deathsJson() {
        JsonArray deaths = new JsonArray();
        for (Death death : deaths()) {
            JsonObject row = new JsonObject();
            row.addProperty("node", death.node());
            row.addProperty("first_us", death.firstDetectionUs());
            row.addProperty("last_us", death.lastDetectionUs());
            row.addProperty("observers", death.observerCount());
            deaths.add(row);
        }
        return deaths;
    }

    private JsonArray violationsJson() {
        JsonArray violations = new JsonArray();
        for (Violation violation : checker.violations()) {
            JsonObject row = new JsonObject();
            row.addProperty("rule", violation.invariant().name());
            row.addProperty("at_us", violation.atUs());
            row.addProperty("what", violation.description());
            violations.add(row);
        }
        return violations;
    }

    private static JsonObject endsJson(ToLongFunction<End> count) {
        JsonObject json = new JsonObject();
        for (End end : End.values()) {
            json.addProperty(end.name().toLowerCase(Locale.ROOT), count.applyAsLong(end));
        }
        return json;
    }

    private static JsonObject histogramJson(Histogram histogram) {
        JsonObject json = new JsonObject();
        for (double percentile : PERCENTILES) {
            json.addProperty(
                    "p" + String.valueOf(percentile).replace(".0", ""), histogram.getValueAtPercentile(percentile));
        }
        json.addProperty("most", histogram.getMaxValue());
        return json;
    }
}
