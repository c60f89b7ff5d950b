package tansypass.testbed.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import tansypass.testbed.invariant.InvariantChecker;
import tansypass.testbed.model.ClientLoadBalancer;
import tansypass.testbed.model.EndpointRegistry;
import tansypass.testbed.model.EndpointRegistry.State;
import tansypass.testbed.model.ProcessNames;
import tansypass.testbed.scenario.Scenario;

/** The parts of one simulated run, which reach each other through this object. All run on the event queue's thread. */
final class SimulationContext {
    final Scenario scenario;
    final long seed;
    final NodeParts parts;
    final EventQueue queue = new EventQueue();
    final InvariantChecker checker;
    final EndpointRegistry registry = new EndpointRegistry();
    final ClientLoadBalancer clientLoadBalancer;
    final SimulatedClients clients;
    final List<SimulatedServer> servers = new ArrayList<>();
    final List<SimulatedNodeHandle> nodes = new ArrayList<>();
    /** Empty if the nodes of the scenario form no cluster. */
    final Optional<SimulatedMembership> membership;

    SimulationContext(Scenario scenario, long seed, NodeParts parts) {
        this.scenario = scenario;
        this.seed = seed;
        this.parts = parts;
        checker = new InvariantChecker(scenario);
        clientLoadBalancer = new ClientLoadBalancer(
                queue, scenario.nodes().count(), scenario.clients().failureDetectionUs());
        clients = new SimulatedClients(this);
        for (int number = 0; number < scenario.servers().count(); number++) {
            servers.add(new SimulatedServer(number, scenario, seed, queue));
            registry.put(ProcessNames.server(number), number, State.READY, 0);
        }
        membership = checker.membershipChecker().map(members -> new SimulatedMembership(this, members));
        for (int number = 0; number < scenario.nodes().count(); number++) {
            nodes.add(new SimulatedNodeHandle(number, this));
        }
    }

    long nowUs() {
        return queue.nowUs();
    }

    /** Returns the server of this name. */
    SimulatedServer server(String name) {
        return servers.get(ProcessNames.numberOf(name));
    }
}
