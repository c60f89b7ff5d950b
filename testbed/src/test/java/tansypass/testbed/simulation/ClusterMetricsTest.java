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

/** Compares figures of the product's membership protocol with those of the baseline. */
@Timeout(120)
class ClusterMetricsTest {
    @TempDir
    private Path folder;

    private static Row row(ClusterMetrics metrics, String protocol, String figure) {
        return metrics.rows().stream()
                .filter(row -> row.kind().equals(protocol) && row.figure().equals(figure))
                .findFirst()
                .orElseThrow();
    }

    @Test
    void onlyBaselineHasFalsePositivesUnderLoss() throws Exception {
        ClusterMetrics metrics = new ClusterMetrics();
        for (String protocol : ClusterMetrics.protocolNames()) {
            metrics.measure(protocol, 8, 0.2, 3, 2);
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
        assertTrue(metrics.toJson().contains("\"heartbeats\""));
    }

    @Test
    void onlyBaselineTrafficGrowsWithClusterSize() throws Exception {
        ClusterMetrics metrics = new ClusterMetrics();
        for (int count : new int[] {10, 30}) {
            for (String protocol : ClusterMetrics.protocolNames()) {
                metrics.measure(protocol, count, 0, 1, 1);
            }
        }
        for (String protocol : ClusterMetrics.protocolNames()) {
            List<Double> datagramRates = metrics.rows().stream()
                    .filter(row -> row.kind().equals(protocol) && row.figure().startsWith("datagrams a second"))
                    .map(Row::median)
                    .toList();
            assertEquals(
                    protocol.equals("swim") ? 1 : 29.0 / 9, datagramRates.get(1) / datagramRates.get(0), 0.1, protocol);
        }
    }

    @Test
    void pausedMembersCauseNoOtherFalsePositives() {
        FalsePositiveTrial.Result result = FalsePositiveTrial.run(MembershipFactory.SWIM, 10, 0, true, 1);
        assertEquals(0, result.ofOtherMembers());
    }
}
