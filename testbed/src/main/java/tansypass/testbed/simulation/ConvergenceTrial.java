package tansypass.testbed.simulation;

import java.lang.management.ManagementFactory;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import tansypass.cluster.membership.Member;
import tansypass.cluster.membership.MemberState;
import tansypass.cluster.membership.MembershipCounters;
import tansypass.cluster.membership.MembershipSettings;

/**
 * Measures each {@link MembershipFigure} of one simulated cluster. The trial starts the cluster, measures its cost
 * while no member changes, kills one member, and finally partitions and heals the network. It runs on the calling
 * thread, in virtual time.
 */
final class ConvergenceTrial {
    /** Figure of a duration that exceeded the timeout of 10 minutes. */
    static final double NEVER = -1;

    static final List<String> ZONES = List.of("a", "b");

    private static final double US_PER_S = 1e6;
    private static final long TIMEOUT_US = 600_000_000;
    private static final long COST_DURATION_US = 30_000_000;
    /** Updates about the start of the members are still disseminated for some time after the views are equal. */
    private static final long WARM_UP_US = 60_000_000;

    private static final long PARTITION_US = 60_000_000;
    private static final long NOT_DETECTED = -1;

    private final SimulatedCluster cluster;
    private final int memberCount;
    private final Map<MembershipFigure, Double> figures = new EnumMap<>(MembershipFigure.class);
    private long firstDetectionUs = NOT_DETECTED;

    private ConvergenceTrial(MembershipFactory factory, int memberCount, long seed) {
        this.memberCount = memberCount;
        cluster = newCluster(factory, memberCount, seed);
        cluster.setViewListener((viewer, entry) -> recordFirstDetection(entry));
    }

    /** Creates a cluster with the default settings and the members not started. */
    static SimulatedCluster newCluster(MembershipFactory factory, int memberCount, long seed) {
        return new SimulatedCluster(seed, MembershipSettings.DEFAULT, memberCount, ZONES, new EventQueue(), factory);
    }

    /**
     * Runs a trial.
     *
     * @param lossRate the share of datagrams that are lost once all members have joined, 0 to 1
     * @return all figures; {@link #NEVER} for a duration that exceeded 10 minutes
     */
    static Map<MembershipFigure, Double> run(MembershipFactory factory, int memberCount, double lossRate, long seed) {
        ConvergenceTrial trial = new ConvergenceTrial(factory, memberCount, seed);
        trial.measureJoin();
        trial.cluster.setLossRate(lossRate);
        trial.measureCost();
        trial.measureFailureDetection();
        trial.measureHealing();
        return trial.figures;
    }

    private void recordFirstDetection(Member entry) {
        if (firstDetectionUs == NOT_DETECTED && entry.state() == MemberState.FAILED) {
            firstDetectionUs = cluster.nowUs();
        }
    }

    /** Runs until all views are equal and returns the seconds that it took, or {@link #NEVER}. */
    private double runUntilConverged() {
        long elapsedUs = cluster.runUntilConverged(TIMEOUT_US);
        return elapsedUs < 0 ? NEVER : elapsedUs / US_PER_S;
    }

    private void measureJoin() {
        cluster.startAll();
        figures.put(MembershipFigure.JOIN_TIME, runUntilConverged());
    }

    private void measureCost() {
        cluster.run(WARM_UP_US);
        long datagrams = cluster.datagramsSent();
        long datagramBytes = cluster.datagramBytesSent();
        long pushPullBytes = cluster.pushPullBytesSent();
        long cpuNs = cpuTimeNs();
        cluster.run(COST_DURATION_US);
        double memberSeconds = COST_DURATION_US / US_PER_S * memberCount;
        double cpuUs = (cpuTimeNs() - cpuNs) / 1e3;
        figures.put(MembershipFigure.CPU_TIME, cpuUs / memberSeconds);
        figures.put(MembershipFigure.DATAGRAM_RATE, (cluster.datagramsSent() - datagrams) / memberSeconds);
        figures.put(MembershipFigure.DATAGRAM_BYTE_RATE, (cluster.datagramBytesSent() - datagramBytes) / memberSeconds);
        figures.put(
                MembershipFigure.PUSH_PULL_BYTE_RATE, (cluster.pushPullBytesSent() - pushPullBytes) / memberSeconds);
        figures.put(MembershipFigure.FALSE_POSITIVES, (double) countDeclaredFailures());
    }

    private static long cpuTimeNs() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    private long countDeclaredFailures() {
        return IntStream.range(0, memberCount)
                .mapToLong(i -> cluster.membership(i).counters().get(MembershipCounters.Name.FAILED))
                .sum();
    }

    private void measureFailureDetection() {
        firstDetectionUs = NOT_DETECTED;
        long killedAtUs = cluster.nowUs();
        cluster.kill(memberCount / 2);
        figures.put(MembershipFigure.FULL_DETECTION_TIME, runUntilConverged());
        figures.put(
                MembershipFigure.FIRST_DETECTION_TIME,
                firstDetectionUs == NOT_DETECTED ? NEVER : (firstDetectionUs - killedAtUs) / US_PER_S);
    }

    private void measureHealing() {
        cluster.setLinkFilter((from, to) -> from % 2 == to % 2);
        cluster.run(PARTITION_US);
        cluster.setLinkFilter((from, to) -> true);
        figures.put(MembershipFigure.HEALING_TIME, runUntilConverged());
    }
}
