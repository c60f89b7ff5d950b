package tansypass.testbed.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.File;
import java.nio.file.Path;
import java.util.List;
import javax.imageio.ImageIO;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import tansypass.testbed.report.ClusterPlot;
import tansypass.testbed.simulation.ClusterMetrics.Row;

/** Figures of the product's membership protocol and of the baseline. */
@Timeout(120)
class ClusterMetricsTest {
    @TempDir
    private Path folder;

    private static Row row(ClusterMetrics metrics, String kind, String figure) {
        return metrics.rows().stream()
                .filter(r -> r.kind().equals(kind) && r.figure().equals(figure))
                .findFirst()
                .orElseThrow();
    }

    @Test
    void onlyBaselineHasFalsePositivesUnderLoss() throws Exception {
        ClusterMetrics metrics = new ClusterMetrics();
        for (String kind : ClusterMetrics.protocolNames()) {
            metrics.measure(kind, 8, 0.2, 3, 2);
        }
        assertEquals(2 * MembershipFigure.values().length, metrics.rows().size());
        for (Row row : metrics.rows()) {
            assertEquals(0, row.missing(), row.toString());
            assertTrue(row.worst() >= row.median(), row.toString());
        }
        assertEquals(0, row(metrics, "swim", "wrongly failed in 90 s").worst());
        assertTrue(row(metrics, "heartbeats", "wrongly failed in 90 s").median() > 0);
        File picture = folder.resolve("plot.png").toFile();
        ClusterPlot.write(metrics.rows(), picture);
        assertTrue(ImageIO.read(picture).getHeight() > 500);
        assertTrue(metrics.json().contains("\"heartbeats\""));
    }

    @Test
    void onlyBaselineTrafficGrowsWithClusterSize() throws Exception {
        ClusterMetrics metrics = new ClusterMetrics();
        for (int count : new int[] {10, 30}) {
            for (String kind : ClusterMetrics.protocolNames()) {
                metrics.measure(kind, count, 0, 1, 1);
            }
        }
        for (String kind : ClusterMetrics.protocolNames()) {
            List<Double> sent = metrics.rows().stream()
                    .filter(r -> r.kind().equals(kind) && r.figure().startsWith("datagrams a second"))
                    .map(Row::median)
                    .toList();
            assertEquals(kind.equals("swim") ? 1 : 29.0 / 9, sent.get(1) / sent.get(0), 0.1, kind);
        }
    }

    @Test
    void pausedMembersCauseNoOtherFalsePositives() {
        FalsePositiveTrial.Result result = FalsePositiveTrial.run(MembershipFactory.SWIM, 10, 0, true, 1);
        assertEquals(0, result.ofOtherMembers());
    }
}
