package tansypass.testbed.scenario;

import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import tansypass.testbed.scenario.Scenario.RequestClass;

/** Formats the settings that scenario files and the configuration files of nodes have in common. */
public final class TomlFragments {
    private TomlFragments() {}

    /** Returns the lines of the settings of nodes. */
    public static String nodeSettings(Scenario.Nodes nodes) {
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

    /** Returns the lines of the times of the membership protocol. */
    public static String probeTiming(Scenario.Cluster cluster) {
        return """
                period = "%dus"
                probe = "%dus"
                """.formatted(cluster.periodUs(), cluster.probeTimeoutUs());
    }

    /** Returns the lines of a request class that say whether and where a request may be repeated. */
    public static String idempotency(RequestClass requestClass) {
        return """
                repeat = "%s"
                group = "%s"
                window = "%dus"
                """.formatted(
                        nameOf(requestClass.idempotency()),
                        nameOf(requestClass.deduplicationScope()),
                        requestClass.deduplicationWindowUs());
    }

    /** Returns the lines of a request class with its latency objective and deadline. */
    public static String latency(RequestClass requestClass) {
        return """
                aim = "%dus"
                deadline = "%dus"
                """.formatted(requestClass.latencyObjectiveUs(), requestClass.deadlineUs());
    }

    /** Returns the elements of an array of strings. */
    public static String quoted(List<String> texts) {
        return texts.stream().map(text -> '"' + text + '"').collect(Collectors.joining(", "));
    }

    /** Returns the name of a constant as files have it, such as {@code half-open}. */
    static String nameOf(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
