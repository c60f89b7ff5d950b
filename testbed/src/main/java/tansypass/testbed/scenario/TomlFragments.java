package tansypass.testbed.scenario;

import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import tansypass.testbed.scenario.Scenario.RequestClass;

/** Formats the settings that are the same in scenario files and in the configuration files of nodes. */
public final class TomlFragments {
    private TomlFragments() {}

    /** Returns the lines with the settings of nodes. */
    public static String nodeLines(Scenario.Nodes nodes) {
        return """
                attempts = %d
                second_copies = %s
                cancel = %s
                retry_after = "%dus"
                connect_timeout = "%dus"
                drain_grace = "%dus"
                """.formatted(
                        nodes.maxAttempts(),
                        nodes.hedging(),
                        nodes.cancellation(),
                        nodes.retryAfterUs(),
                        nodes.connectTimeoutUs(),
                        nodes.drainGraceUs());
    }

    /** Returns the lines with the probe timing of the membership protocol. */
    public static String probeTimingLines(Scenario.Cluster cluster) {
        return """
                period = "%dus"
                probe = "%dus"
                """.formatted(cluster.periodUs(), cluster.probeTimeoutUs());
    }

    /** Returns the lines of a request class with its idempotency and the scope and window of deduplication. */
    public static String idempotencyLines(RequestClass requestClass) {
        return """
                repeat = "%s"
                group = "%s"
                window = "%dus"
                """.formatted(
                        tomlName(requestClass.idempotency()),
                        tomlName(requestClass.deduplicationScope()),
                        requestClass.deduplicationWindowUs());
    }

    /** Returns the lines of a request class with its latency objective and deadline. */
    public static String latencyLines(RequestClass requestClass) {
        return """
                aim = "%dus"
                deadline = "%dus"
                """.formatted(requestClass.latencyObjectiveUs(), requestClass.deadlineUs());
    }

    /** Returns the elements of a TOML array of strings, without its brackets. */
    public static String joinQuoted(List<String> texts) {
        return texts.stream().map(text -> '"' + text + '"').collect(Collectors.joining(", "));
    }

    /** Returns the name of a constant in the form of the files, such as {@code half-open}. */
    static String tomlName(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
