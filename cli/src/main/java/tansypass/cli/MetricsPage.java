package tansypass.cli;

import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.instrumentation.jvm.JvmMetrics;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.UnaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import tansypass.cluster.membership.Role;
import tansypass.cluster.transport.ClusterMember;

/**
 * The page {@code /metrics} in Prometheus' text format: the node's metrics as in {@code /_vars}, the number of
 * dropped log lines, and metrics of the cluster membership and the JVM. Not thread-safe: called on the admin event loop
 * only.
 */
final class MetricsPage implements UnaryOperator<String> {
    private static final Pattern REQUEST_METRIC = Pattern.compile("node\\.requests\\.(.+)\\.(served|refused|failed)");

    private static final double MICROS_PER_SECOND = 1e6;

    private static final String ABORT_METRIC_PREFIX = "node.aborted.";
    private static final String CLOSE_METRIC_PREFIX = "node.closed.";

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private Map<String, Long> nodeMetrics = Map.of();

    /** Creates the page of a node; {@code member} is null for a node that is not a member of a cluster. */
    MetricsPage(ClusterMember member) {
        addRequestMetrics();
        addReasonMetrics(
                "tansypass_aborted_total",
                "Streamed messages that the node broke off, by reason.",
                ABORT_METRIC_PREFIX);
        addReasonMetrics(
                "tansypass_closed_total", "Client connections that the node ended, by reason.", CLOSE_METRIC_PREFIX);
        CounterWithCallback.builder()
                .name("tansypass_log_lines_dropped_total")
                .help("Lines of the log that found its queue full.")
                .callback(metric -> metric.call((double) Logs.countDropped()))
                .register(registry);
        addGauge("in_flight", "Requests taken and not ended.");
        addGauge("client_connections", "Open connections of clients.");
        addGauge("web_servers_known", "Web servers in the list.");
        addGauge("web_servers_excluded", "Listed web servers that the node avoids now.");
        addGauge("heap_buffer_bytes", "Heap memory of buffered requests and pipelined input.");
        addGauge("heap_used_bytes", "Heap in use, unreachable objects included.");
        addGauge("heap_limit_bytes", "Limit of the heap.");
        addGauge("direct_memory_bytes", "Direct memory that the buffer allocator has taken.");
        addGauge("direct_memory_limit_bytes", "Limit of the direct memory.");
        addGauge("event_loop_busy_max_ms", "Longest time between two polls of the event loop, in milliseconds.");
        JvmMetrics.builder().register(registry);
        if (member != null) {
            addClusterMetrics(member);
        }
    }

    private void addRequestMetrics() {
        CounterWithCallback.builder()
                .name("tansypass_requests_total")
                .labelNames("class", "outcome")
                .help("Requests answered, by class and outcome.")
                .callback(metric -> nodeMetrics.forEach((name, value) -> {
                    Matcher request = REQUEST_METRIC.matcher(name);
                    if (request.matches()) {
                        metric.call(value, request.group(1), request.group(2));
                    }
                }))
                .register(registry);
        CounterWithCallback.builder()
                .name("tansypass_attempts_total")
                .help("Requests written whole to web servers.")
                .callback(metric -> metric.call((double) getMetric("attempts")))
                .register(registry);
        CounterWithCallback.builder()
                .name("tansypass_retries_total")
                .help("Attempts after the first one of a request.")
                .callback(metric -> metric.call((double) getMetric("retries")))
                .register(registry);
        CounterWithCallback.builder()
                .name("tansypass_abandoned_total")
                .help("Requests whose client left before anything of them was sent on.")
                .callback(metric -> metric.call((double) getMetric("abandoned")))
                .register(registry);
    }

    /** Adds a counter with a label for what follows a prefix in the names of the node's metrics. */
    private void addReasonMetrics(String counterName, String help, String nodeMetricPrefix) {
        CounterWithCallback.builder()
                .name(counterName)
                .labelNames("reason")
                .help(help)
                .callback(metric -> nodeMetrics.forEach((name, value) -> {
                    if (name.startsWith(nodeMetricPrefix)) {
                        metric.call(value, name.substring(nodeMetricPrefix.length()));
                    }
                }))
                .register(registry);
    }

    private void addClusterMetrics(ClusterMember member) {
        CounterWithCallback.builder()
                .name("tansypass_membership_events_total")
                .labelNames("event")
                .help("What the membership has counted.")
                .callback(metric -> member.counters().forEach((name, count) -> metric.call(count, name)))
                .register(registry);
        GaugeWithCallback.builder()
                .name("tansypass_membership_disagreement_seconds")
                .help("Since a peer last had the same view, or since the start.")
                .callback(metric -> member.view()
                        .ifPresent(view -> metric.call((view.takenAtUs() - view.lastAgreedUs()) / MICROS_PER_SECOND)))
                .register(registry);
        GaugeWithCallback.builder()
                .name("tansypass_fleet_nodes")
                .labelNames("state")
                .help("Nodes that take clients, and lost ones, as the node's share is worked out from.")
                .callback(metric -> member.view().ifPresent(view -> {
                    metric.call(view.servingCount(Role.NODE), "taking");
                    metric.call(view.failedWhileServingCount(Role.NODE), "lost");
                }))
                .register(registry);
        GaugeWithCallback.builder()
                .name("tansypass_members_present")
                .labelNames("zone")
                .help("Nodes that this process holds to be present.")
                .callback(metric -> member.view()
                        .ifPresent(view ->
                                view.presentByZone(Role.NODE).forEach((zone, present) -> metric.call(present, zone))))
                .register(registry);
    }

    private void addGauge(String name, String help) {
        GaugeWithCallback.builder()
                .name("tansypass_" + name)
                .help(help)
                .callback(metric -> metric.call((double) getMetric(name)))
                .register(registry);
    }

    private long getMetric(String name) {
        return nodeMetrics.getOrDefault("node." + name, 0L);
    }

    /** Formats the page; {@code vars} is the response body of {@code /_vars}. */
    @Override
    public String apply(String vars) {
        nodeMetrics = vars.lines()
                .map(line -> line.split("=", 2))
                .collect(Collectors.toMap(line -> line[0], line -> Long.valueOf(line[1])));
        ByteArrayOutputStream page = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(page, registry.scrape());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return page.toString(StandardCharsets.UTF_8);
    }
}
