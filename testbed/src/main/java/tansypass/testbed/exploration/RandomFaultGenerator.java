package tansypass.testbed.exploration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import tansypass.testbed.scenario.Scenario;
import tansypass.testbed.scenario.Scenario.Fault;
import tansypass.testbed.scenario.Scenario.FaultDirection;
import tansypass.testbed.scenario.Scenario.Kind;
import tansypass.testbed.scenario.ScenarioFile;

/** Draws random faults for a scenario. Equal scenarios and equal random numbers give equal faults. */
final class RandomFaultGenerator {
    private static final int MAX_FAULTS = 8;
    /** One process target in 6 is the group of all nodes or of all servers. */
    private static final int GROUP_RATIO = 6;

    private static final double RATE_RANGE_BYTES_PER_S = 200_000;
    private static final long MAX_FAULT_TIME_US = 600_000;

    private final Scenario scenario;
    private final UniformRandomProvider random;

    RandomFaultGenerator(Scenario scenario, UniformRandomProvider random) {
        this.scenario = scenario;
        this.random = random;
    }

    /** Draws one to eight faults and returns them in the order of their start. */
    List<Fault> draw() {
        List<Fault> faults = new ArrayList<>();
        int count = 1 + random.nextInt(MAX_FAULTS);
        for (int i = 0; i < count; i++) {
            faults.add(drawFault());
        }
        faults.sort(Comparator.comparingLong(Fault::startUs));
        return faults;
    }

    private Fault drawFault() {
        int kindCount = Kind.values().length;
        Kind kind = Kind.values()[random.nextInt(scenario.cluster() == null ? Kind.DUPLICATE.ordinal() : kindCount)];
        long startUs = random.nextLong(scenario.lengthUs());
        // The cube spreads durations over orders of magnitude, because short faults can reveal as many bugs as long
        // ones.
        long halfLengthUs = scenario.lengthUs() / 2;
        long durationUs = (long) (halfLengthUs * Math.pow(random.nextDouble(), 3));
        double amount = kind == Kind.RATE
                ? ScenarioFile.MIN_RATE_BYTES_PER_S + random.nextDouble() * RATE_RANGE_BYTES_PER_S
                : random.nextDouble();
        return new Fault(
                kind,
                startUs,
                durationUs,
                drawTargets(kind),
                FaultDirection.values()[random.nextInt(FaultDirection.values().length)],
                amount,
                random.nextLong(MAX_FAULT_TIME_US));
    }

    private List<String> drawTargets(Kind kind) {
        return switch (kind) {
            case KILL -> List.of(random.nextBoolean() ? drawNode() : drawServer());
            case TERM, PAUSE -> List.of(drawNode());
            case DRAIN, CHOKE, HANG, ERRORS -> List.of(drawServer());
            case SILENCE -> List.of("discovery");
            case DUPLICATE, REORDER -> List.of(drawNode(), drawNode());
            default ->
                scenario.cluster() != null && random.nextBoolean()
                        ? List.of(drawNode(), drawNode())
                        : random.nextInt(4) == 0 ? List.of("clients", drawNode()) : List.of(drawNode(), drawServer());
        };
    }

    private String drawNode() {
        return drawProcess("node-", scenario.nodes().count());
    }

    private String drawServer() {
        return drawProcess("server-", scenario.servers().count());
    }

    private String drawProcess(String kind, int count) {
        return kind + (random.nextInt(GROUP_RATIO) == 0 ? "*" : Integer.toString(random.nextInt(count)));
    }
}
