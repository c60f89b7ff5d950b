package tansypass.testbed.model;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import tansypass.cluster.runtime.Scheduler;
import tansypass.testbed.scenario.Scenario;
import tansypass.testbed.scenario.Scenario.Fault;

/** Begins and ends the faults of a scenario at their times, by calls of a {@link Target}. */
public final class FaultSchedule {

    /** Applies single faults to the nodes, servers and links of a run. */
    public interface Target {
        /** Begins or ends a fault of a node. */
        void applyNodeFault(int node, Fault fault, boolean begins);

        /** Begins or ends a fault of a server. */
        void applyServerFault(int server, Fault fault, boolean begins);

        /** Makes discovery withhold changes of the endpoint list, or publish them again. */
        void setDiscoverySilent(boolean silent);

        /** Begins or ends a fault of the link from a node to a server. */
        void applyServerLinkFault(int node, int server, Fault fault, boolean begins);

        /** Begins or ends a fault of the link between two nodes. */
        void applyMemberLinkFault(int first, int second, Fault fault, boolean begins);

        /** Begins or ends a fault of the link from the clients to a node. */
        void applyClientLinkFault(int node, Fault fault, boolean begins);
    }

    private final Scenario scenario;
    private final Target target;

    /** Creates a schedule that has not started. */
    public FaultSchedule(Scenario scenario, Target target) {
        this.scenario = scenario;
        this.target = target;
    }

    /**
     * Starts the schedule now. Each fault ends with the load at the latest, so that open requests can end without
     * faults in the settle time.
     */
    public void start(Scheduler scheduler) {
        for (Fault fault : scenario.faults()) {
            scheduler.after(fault.startUs(), () -> {
                apply(fault, true);
                long durationUs = Math.min(fault.durationUs(), scenario.lengthUs() - fault.startUs());
                scheduler.after(durationUs, () -> apply(fault, false));
            });
        }
    }

    private void apply(Fault fault, boolean begins) {
        String firstTarget = fault.targets().get(0);
        if (firstTarget.equals("discovery")) {
            target.setDiscoverySilent(begins);
        } else if (fault.kind().isLinkFault()) {
            for (int secondNumber : matchingNumbers(scenario, fault.targets().get(1))) {
                if (firstTarget.equals("clients")) {
                    target.applyClientLinkFault(secondNumber, fault, begins);
                } else {
                    matchingNumbers(scenario, firstTarget)
                            .forEach(node -> applyToLink(node, secondNumber, fault, begins));
                }
            }
        } else if (firstTarget.startsWith("node")) {
            matchingNumbers(scenario, firstTarget).forEach(node -> target.applyNodeFault(node, fault, begins));
        } else {
            matchingNumbers(scenario, firstTarget).forEach(server -> target.applyServerFault(server, fault, begins));
        }
    }

    private void applyToLink(int node, int secondNumber, Fault fault, boolean begins) {
        if (!fault.isBetweenNodes()) {
            target.applyServerLinkFault(node, secondNumber, fault, begins);
        } else if (node != secondNumber) {
            target.applyMemberLinkFault(node, secondNumber, fault, begins);
        }
    }

    /** Returns the links from nodes to servers that have any fault, each as {@code node * serverCount + server}. */
    public static List<Integer> faultyLinks(Scenario scenario) {
        List<Integer> links = new ArrayList<>();
        for (Fault fault : scenario.faults()) {
            if (fault.kind().isLinkFault() && fault.targets().get(0).startsWith("node") && !fault.isBetweenNodes()) {
                for (int node : matchingNumbers(scenario, fault.targets().get(0))) {
                    for (int server : matchingNumbers(scenario, fault.targets().get(1))) {
                        links.add(node * scenario.servers().count() + server);
                    }
                }
            }
        }
        return links.stream().distinct().toList();
    }

    /** Returns the nodes whose link from the clients has any fault. */
    public static List<Integer> faultyClientLinks(Scenario scenario) {
        return scenario.faults().stream()
                .filter(f -> f.targets().get(0).equals("clients"))
                .flatMap(f -> matchingNumbers(scenario, f.targets().get(1)).stream())
                .distinct()
                .toList();
    }

    /** Returns the numbers of the processes that match a target such as {@code node-1} or {@code server-*}. */
    private static List<Integer> matchingNumbers(Scenario scenario, String name) {
        if (!name.endsWith("-*")) {
            return List.of(ProcessNames.numberOf(name));
        }
        int count = name.startsWith("node")
                ? scenario.nodes().count()
                : scenario.servers().count();
        return IntStream.range(0, count).boxed().toList();
    }
}
