package tansypass.testbed.report;

import java.awt.BasicStroke;
import java.awt.Color;
import java.awt.Font;
import java.io.File;
import java.io.IOException;
import java.text.NumberFormat;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.axis.LogAxis;
import org.jfree.chart.axis.NumberAxis;
import org.jfree.chart.plot.CombinedDomainXYPlot;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.xy.XYLineAndShapeRenderer;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;
import tansypass.testbed.simulation.ClusterMetrics.Row;
import tansypass.testbed.simulation.MembershipFigure;

/**
 * Plots membership figures over the size of the cluster. Each protocol has a solid curve for the median and a dashed
 * one for the worst value.
 */
public final class ClusterPlot {
    private static final int WIDTH_PIXELS = 900;
    private static final int PLOT_HEIGHT_PIXELS = 260;
    private static final int PLOT_GAP = 16;
    private static final int TITLE_FONT_SIZE = 16;
    private static final int LABEL_FONT_SIZE = 10;
    /** The figures that are plotted, and the labels of their axes. */
    private static final Map<MembershipFigure, String> AXIS_LABELS = new EnumMap<>(Map.of(
            MembershipFigure.FULL_DETECTION_TIME,
            "failure in all views, s",
            MembershipFigure.HEALING_TIME,
            "partition healed after, s",
            MembershipFigure.DATAGRAM_BYTE_RATE,
            "bytes a second, each",
            MembershipFigure.CPU_TIME,
            "CPU us a second, each"));

    private static final float[] DASH_LENGTHS = {6, 4};

    private ClusterPlot() {}

    /** Writes the plots of all figures to a PNG file. */
    public static void write(List<Row> rows, File file) throws IOException {
        LogAxis sizeAxis = new LogAxis("processes");
        sizeAxis.setNumberFormatOverride(NumberFormat.getIntegerInstance(Locale.ROOT));
        CombinedDomainXYPlot combinedPlot = new CombinedDomainXYPlot(sizeAxis);
        combinedPlot.setGap(PLOT_GAP);
        List<String> kinds = rows.stream().map(Row::kind).distinct().toList();
        AXIS_LABELS.forEach((figure, label) -> {
            boolean isFirst = combinedPlot.getSubplots().isEmpty();
            combinedPlot.add(createPlot(rows, figure.reportName(), label, kinds, isFirst));
        });
        JFreeChart chart = new JFreeChart(
                "Membership by size: median (line) and worst (dashed)",
                new Font(Font.SANS_SERIF, Font.PLAIN, TITLE_FONT_SIZE),
                combinedPlot,
                true);
        chart.setBackgroundPaint(Color.WHITE);
        ChartUtils.saveChartAsPNG(file, chart, WIDTH_PIXELS, AXIS_LABELS.size() * PLOT_HEIGHT_PIXELS);
    }

    private static XYPlot createPlot(
            List<Row> rows, String figure, String label, List<String> kinds, boolean showInLegend) {
        XYSeriesCollection data = new XYSeriesCollection();
        for (String kind : kinds) {
            addSeries(data, rows, figure, kind);
        }
        NumberAxis axis = new NumberAxis(label);
        axis.setLabelFont(new Font(Font.SANS_SERIF, Font.PLAIN, LABEL_FONT_SIZE));
        XYPlot plot = new XYPlot(data, null, axis, createRenderer(kinds.size(), showInLegend));
        plot.setBackgroundPaint(Color.WHITE);
        plot.setRangeGridlinePaint(Color.LIGHT_GRAY);
        return plot;
    }

    private static void addSeries(XYSeriesCollection data, List<Row> rows, String figure, String kind) {
        XYSeries median = new XYSeries(kind);
        XYSeries worst = new XYSeries(kind + ", worst");
        rows.stream()
                .filter(row -> row.kind().equals(kind) && row.figure().equals(figure) && row.median() >= 0)
                .forEach(row -> {
                    median.add(row.count(), row.median());
                    worst.add(row.count(), row.worst());
                });
        data.addSeries(median);
        data.addSeries(worst);
    }

    /**
     * Creates a renderer whose curves can be distinguished in black and white: protocols by shade, medians and worst
     * values by dashes.
     */
    private static XYLineAndShapeRenderer createRenderer(int kindCount, boolean showInLegend) {
        XYLineAndShapeRenderer renderer = new XYLineAndShapeRenderer(true, true);
        BasicStroke dashed = new BasicStroke(1, BasicStroke.CAP_BUTT, BasicStroke.JOIN_MITER, 1, DASH_LENGTHS, 0);
        for (int kind = 0; kind < kindCount; kind++) {
            int median = 2 * kind;
            int worst = median + 1;
            Color color = kind == 0 ? Color.BLACK : Color.GRAY;
            renderer.setSeriesPaint(median, color);
            renderer.setSeriesPaint(worst, color);
            renderer.setSeriesStroke(median, new BasicStroke(2));
            renderer.setSeriesStroke(worst, dashed);
        }
        renderer.setDefaultSeriesVisibleInLegend(showInLegend);
        return renderer;
    }
}
