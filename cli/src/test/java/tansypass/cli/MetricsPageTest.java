package tansypass.cli;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class MetricsPageTest {
    @Test
    void exportsNodeMetricsWithLabels() {
        MetricsPage metrics = new MetricsPage(null);
        metrics.apply("node.attempts=1\n");
        String page = metrics.apply("node.requests.pitch-detail.served=812\n"
                + "node.requests.pitch-detail.refused=3\nnode.attempts=900\nnode.in_flight=14\n"
                + "node.aborted.client_stalled=6\n"
                + "node.heap_buffer_bytes=4\n"
                + "node.direct_memory_bytes=5\nnode.direct_memory_limit_bytes=8\nnode.event_loop_busy_max_ms=7\n");
        for (String line : List.of(
                "tansypass_requests_total{class=\"pitch-detail\",outcome=\"served\"} 812.0",
                "tansypass_requests_total{class=\"pitch-detail\",outcome=\"refused\"} 3.0",
                "tansypass_attempts_total 900.0",
                "tansypass_in_flight 14.0",
                "tansypass_web_servers_known 0.0",
                "tansypass_aborted_total{reason=\"client_stalled\"} 6.0",
                "tansypass_heap_buffer_bytes 4.0",
                "tansypass_direct_memory_bytes 5.0",
                "tansypass_direct_memory_limit_bytes 8.0",
                "tansypass_event_loop_busy_max_ms 7.0",
                "tansypass_log_lines_dropped_total 0.0")) {
            assertTrue(page.lines().anyMatch(line::equals), () -> line + " is not in\n" + page);
        }
        assertTrue(page.contains("jvm_threads_current"), page);
    }
}
