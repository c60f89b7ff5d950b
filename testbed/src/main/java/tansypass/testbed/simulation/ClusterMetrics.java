package tansypass.testbed.simulation;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.LongFunction;
import java.util.function.ToLongFunction;
import java.util.stream.LongStream;
import org.apache.commons.math3.stat.StatUtils;
import tansypass.testbed.baseline.HeartbeatProtocol;
import tansypass.testbed.simulation.FalsePositiveTrial.Result;

/**
 * Measures the speed, the cost and the false positives of membership protocols in virtual time. For each protocol
 * and cluster size it gives the median and the worst value over several seeds. Not thread-safe, although it runs
 * the trials on several threads.
 */
public final class ClusterMetrics {
    /** By protocol name: the product's protocol first, then the baseline that it is compared to. */
    private static final Map<String, MembershipFactory> PROTOCOL_FACTORIES = protocolFactories();

    private static final Gson GSON = new GsonBuilder().setPrettyPrinting().create();
    private static final int MEDIAN_PERCENTILE = 50;
    /** The name of this figure in reports, which scripts read. */
    private static final String FALSE_POSITIVES = "wrongly failed in an hour";

    private final List<Row> rows = new ArrayList<>();

    /**
     * One figure of one protocol and cluster size. The names of the components are keys of JSON reports.
     *
     * @param kind the name of the protocol
     * @param count the number of members of the cluster
     * @param loss the share of datagrams that are lost, 0 to 1
     * @param figure what was measured, with its unit
     * @param missing the number of seeds in which the figure was never reached; median and worst exclude them
     */
    public record Row(
            String kind, int count, double loss, String figure, double median, double worst, int seeds, long missing) {}

    private static Map<String, MembershipFactory> protocolFactories() {
        Map<String, MembershipFactory> factories = new LinkedHashMap<>();
        factories.put("swim", MembershipFactory.SWIM);
        factories.put("heartbeats", HeartbeatProtocol::new);
        return factories;
    }

    /** Returns the names of all protocols; the first one is the product's. */
    public static List<String> protocolNames() {
        return List.copyOf(PROTOCOL_FACTORIES.keySet());
    }

    /**
     * Adds a row for each {@link MembershipFigure} of one protocol and cluster size, over seeds 1 to {@code seedCount}.
     */
    public void measure(String protocol, int memberCount, double lossRate, int seedCount, int threads)
            throws InterruptedException {
        List<Map<MembershipFigure, Double>> trials = runSeeds(
                seedCount,
                threads,
                seed -> ConvergenceTrial.run(PROTOCOL_FACTORIES.get(protocol), memberCount, lossRate, seed));
        for (MembershipFigure figure : MembershipFigure.values()) {
            List<Double> values =
                    trials.stream().map(trial -> trial.get(figure)).toList();
            addRow(protocol, memberCount, lossRate, figure.reportName(), values);
        }
    }

    /**
     * Adds rows for the false positives in an hour of one protocol and cluster size, over seeds 1 to {@code seedCount}.
     *
     * @param withPauses whether a tenth of the members is repeatedly paused for 1 to 3 s
     */
    public void measureFalsePositives(
            String protocol, int memberCount, double lossRate, boolean withPauses, int seedCount, int threads)
            throws InterruptedException {
        List<Result> trials = runSeeds(
                seedCount,
                threads,
                seed -> FalsePositiveTrial.run(
                        PROTOCOL_FACTORIES.get(protocol), memberCount, lossRate, withPauses, seed));
        if (withPauses) {
            addRow(
                    protocol,
                    memberCount,
                    lossRate,
                    FALSE_POSITIVES + ", of those that stand still",
                    valuesOf(trials, Result::ofPausedMembers));
        }
        String suffix = withPauses ? ", of the others" : "";
        addRow(protocol, memberCount, lossRate, FALSE_POSITIVES + suffix, valuesOf(trials, Result::ofOtherMembers));
    }

    private static List<Double> valuesOf(List<Result> trials, ToLongFunction<Result> figure) {
        return trials.stream().map(trial -> (double) figure.applyAsLong(trial)).toList();
    }

    private static <T> List<T> runSeeds(int seedCount, int threads, LongFunction<T> trial) throws InterruptedException {
        ExecutorService pool = Executors.newFixedThreadPool(threads);
        try {
            List<Future<T>> futures = LongStream.rangeClosed(1, seedCount)
                    .mapToObj(seed -> pool.submit(() -> trial.apply(seed)))
                    .toList();
            List<T> results = new ArrayList<>();
            for (Future<T> future : futures) {
                results.add(future.get());
            }
            return results;
        } catch (ExecutionException e) {
            throw new IllegalStateException("membership trial failed", e.getCause());
        } finally {
            pool.shutdownNow();
        }
    }

    private void addRow(String protocol, int memberCount, double lossRate, String figure, List<Double> values) {
        double[] reached = values.stream()
                .mapToDouble(Double::doubleValue)
                .filter(value -> value != ConvergenceTrial.NEVER)
                .toArray();
        boolean isNeverReached = reached.length == 0;
        rows.add(new Row(
                protocol,
                memberCount,
                lossRate,
                figure,
                isNeverReached ? ConvergenceTrial.NEVER : StatUtils.percentile(reached, MEDIAN_PERCENTILE),
                isNeverReached ? ConvergenceTrial.NEVER : StatUtils.max(reached),
                values.size(),
                values.size() - reached.length));
    }

    /** Returns all rows so far. */
    public List<Row> rows() {
        return List.copyOf(rows);
    }

    /** Returns the rows as a table for people. */
    public String toText() {
        return ClusterMetricsText.format(rows);
    }

    /** Returns the rows as a JSON array. */
    public String toJson() {
        return GSON.toJson(rows);
    }
}
