package tansypass.testbed.model;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import tansypass.cluster.runtime.Scheduler;
import tansypass.testbed.scenario.Scenario;
import tansypass.testbed.scenario.Scenario.Fault;

/** Begins and ends the faults of a scenario at their times, on whatever {@link Target} there is. */
public final class FaultSchedule {

    /** Applies single faults to the nodes, servers and links of a run. */
    public interface Target {
        /** A fault of a node begins or ends. */
        void applyNodeFault(int node, Fault fault, boolean begins);

        /** A fault of a server begins or ends. */
        void applyServerFault(int server, Fault fault, boolean begins);

        /** Discovery withholds changes, or publishes them again. */
        void setDiscoverySilent(boolean silent);

        /** A fault of the link from a node to a server begins or ends. */
        void applyServerLinkFault(int node, int server, Fault fault, boolean begins);

        /** A fault of the link between two nodes begins or ends. */
        void applyMemberLinkFault(int first, int second, Fault fault, boolean begins);

        /** A fault of the link from the clients to a node begins or ends. */
        void applyClientLinkFault(int node, Fault fault, boolean begins);
    }

    private final Scenario scenario;
    private final Target target;

    /** Creates a schedule that has not started. */
    public FaultSchedule(Scenario scenario, Target target) {
        this.scenario = scenario;
        this.target = target;
    }

    /** Starts the schedule now. No fault outlasts the load: the time after it is for requests to end. */
    public void start(Scheduler scheduler) {
        for (Fault fault : scenario.faults()) {
            scheduler.after(fault.startUs(), () -> {
                apply(fault, true);
                long lastsUs = Math.min(fault.durationUs(), scenario.lengthUs() - fault.startUs());
                scheduler.after(lastsUs, () -> apply(fault, false));
            });
        }
    }

    private void apply(Fault fault, boolean begins) {
        String first = fault.targets().get(0);
        if (first.equals("discovery")) {
            target.setDiscoverySilent(begins);
        } else if (fault.kind().isLinkFault()) {
            for (int second : numbers(scenario, fault.targets().get(1))) {
                if (first.equals("clients")) {
                    target.applyClientLinkFault(second, fault, begins);
                } else {
                    numbers(scenario, first).forEach(node -> applyToLink(node, second, fault, begins));
                }
            }
        } else if (first.startsWith("node")) {
            numbers(scenario, first).forEach(node -> target.applyNodeFault(node, fault, begins));
        } else {
            numbers(scenario, first).forEach(server -> target.applyServerFault(server, fault, begins));
        }
    }

    private void applyToLink(int node, int second, Fault fault, boolean begins) {
        if (!fault.isBetweenNodes()) {
            target.applyServerLinkFault(node, second, fault, begins);
        } else if (node != second) {
            target.applyMemberLinkFault(node, second, fault, begins);
        }
    }

    /** Returns the links from nodes to servers that some fault is on, as node * servers + server. */
    public static List<Integer> faultyLinks(Scenario scenario) {
        List<Integer> links = new ArrayList<>();
        for (Fault fault : scenario.faults()) {
            if (fault.kind().isLinkFault() && fault.targets().get(0).startsWith("node") && !fault.isBetweenNodes()) {
                for (int node : numbers(scenario, fault.targets().get(0))) {
                    for (int server : numbers(scenario, fault.targets().get(1))) {
                        links.add(node * scenario.servers().count() + server);
                    }
                }
            }
        }
        return links.stream().distinct().toList();
    }

    /** Returns the nodes whose link from the clients some fault is on. */
    public static List<Integer> faultyClientLinks(Scenario scenario) {
        return scenario.faults().stream()
                .filter(f -> f.targets().get(0).equals("clients"))
                .flatMap(f -> numbers(scenario, f.targets().get(1)).stream())
                .distinct()
                .toList();
    }

    /** Returns the numbers that a target such as {@code node-1} or {@code server-*} names. */
    private static List<Integer> numbers(Scenario scenario, String name) {
        if (!name.endsWith("-*")) {
            return List.of(ProcessNames.numberOf(name));
        }
        int count = name.startsWith("node")
                ? scenario.nodes().count()
                : scenario.servers().count();
        return IntStream.range(0, count).boxed().toList();
    }
}
