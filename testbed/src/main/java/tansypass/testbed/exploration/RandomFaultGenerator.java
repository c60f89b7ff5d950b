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

/** Draws random faults for a scenario; equal random numbers give equal faults. */
final class RandomFaultGenerator {
    private static final int MAX_FAULTS = 8;
    /** One target in so many is all processes of a kind. */
    private static final int ALL_TARGETS_RATIO = 6;

    private static final double MAX_BYTES_PER_S = 200_000;
    private static final long MAX_TIME_US = 600_000;

    private final Scenario scenario;
    private final UniformRandomProvider random;

    RandomFaultGenerator(Scenario scenario, UniformRandomProvider random) {
        this.scenario = scenario;
        this.random = random;
    }

    /** Draws one to eight faults, in the order of their start. */
    List<Fault> draw() {
        List<Fault> faults = new ArrayList<>();
        int count = 1 + random.nextInt(MAX_FAULTS);
        for (int i = 0; i < count; i++) {
            faults.add(fault());
        }
        faults.sort(Comparator.comparingLong(Fault::startUs));
        return faults;
    }

    private Fault fault() {
        int kinds = Kind.values().length;
        Kind kind = Kind.values()[random.nextInt(scenario.cluster() == null ? Kind.DUPLICATE.ordinal() : kinds)];
        long atUs = random.nextLong(scenario.lengthUs());
        // Short faults are as frequent as long ones: those that just miss something matter as much.
        long halfLengthUs = scenario.lengthUs() / 2;
        long lastsUs = (long) (halfLengthUs * Math.pow(random.nextDouble(), 3));
        double amount = kind == Kind.RATE
                ? ScenarioFile.MIN_RATE_BYTES_PER_S + random.nextDouble() * MAX_BYTES_PER_S
                : random.nextDouble();
        return new Fault(
                kind,
                atUs,
                lastsUs,
                target(kind),
                FaultDirection.values()[random.nextInt(FaultDirection.values().length)],
                amount,
                random.nextLong(MAX_TIME_US));
    }

    private List<String> target(Kind kind) {
        return switch (kind) {
            case KILL -> List.of(random.nextBoolean() ? node() : server());
            case TERM, PAUSE -> List.of(node());
            case DRAIN, CHOKE, HANG, ERRORS -> List.of(server());
            case SILENCE -> List.of("discovery");
            case DUPLICATE, REORDER -> List.of(node(), node());
            default ->
                scenario.cluster() != null && random.nextBoolean()
                        ? List.of(node(), node())
                        : random.nextInt(4) == 0 ? List.of("clients", node()) : List.of(node(), server());
        };
    }

    private String node() {
        return one("node-", scenario.nodes().count());
    }

    private String server() {
        return one("server-", scenario.servers().count());
    }

    private String one(String kind, int count) {
        return kind + (random.nextInt(ALL_TARGETS_RATIO) == 0 ? "*" : Integer.toString(random.nextInt(count)));
    }
}
