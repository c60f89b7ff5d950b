package tansypass.testbed.simulation;

import java.util.List;
import tansypass.balancer.BalancerSettings;
import tansypass.balancer.DeduplicationScope;
import tansypass.balancer.Idempotency;
import tansypass.balancer.ServerEntry;
import tansypass.balancer.ServerState;
import tansypass.config.NodeFile;
import tansypass.testbed.model.EndpointRegistry;
import tansypass.testbed.scenario.Scenario;
import tansypass.testbed.scenario.Scenario.RequestClass;

/**
 * Converts a scenario and the endpoint list to the settings and server entries of a balancer. A real node makes the
 * same conversion from its configuration file and from discovery's messages.
 */
final class BalancerInputs {
    private BalancerInputs() {}

    /** Converts entries of the endpoint list to server entries of the balancer. */
    static List<ServerEntry> toServerEntries(Scenario scenario, List<EndpointRegistry.Entry> entries) {
        return entries.stream().map(entry -> toServerEntry(scenario, entry)).toList();
    }

    private static ServerEntry toServerEntry(Scenario scenario, EndpointRegistry.Entry entry) {
        return new ServerEntry(
                entry.name(),
                scenario.nodes().zones().indexOf(scenario.zone(entry.number())),
                entry.number() / scenario.servers().serversPerCell(),
                switch (entry.state()) {
                    case READY -> ServerState.READY;
                    case TERMINATING -> ServerState.DRAINING;
                    case GONE -> ServerState.GONE;
                },
                1,
                entry.bootMs() * 1_000);
    }

    /** Returns the settings of a node's balancer. */
    static BalancerSettings toSettings(Scenario scenario, int node) {
        List<String> zones = scenario.nodes().zones();
        return BalancerSettings.builder()
                .nodes(scenario.nodes().count())
                .zones(zones)
                .localZone(zones.indexOf(scenario.zone(node)))
                .maxAttempts(scenario.nodes().maxAttempts())
                .hedging(scenario.nodes().hedging())
                .cancel(scenario.nodes().cancellation())
                .maxRetryAfterUs(scenario.nodes().retryAfterUs())
                .connectTimeoutUs(scenario.nodes().connectTimeoutUs())
                .connectionIdleUs(scenario.servers().idleTimeoutUs())
                .drainGraceUs(scenario.nodes().drainGraceUs())
                .slowStartCapacity(scenario.servers().slowStartFactor())
                .slowStartUs(scenario.servers().slowStartUs())
                .classes(scenario.classes().stream()
                        .map(BalancerInputs::toBalancerClass)
                        .toList())
                .build();
    }

    private static tansypass.balancer.RequestClass toBalancerClass(RequestClass requestClass) {
        return new tansypass.balancer.RequestClass(
                requestClass.name(),
                requestClass.latencyObjectiveUs(),
                0,
                requestClass.deadlineUs(),
                1,
                0,
                toBalancerIdempotency(requestClass.idempotency()),
                DeduplicationScope.valueOf(requestClass.deduplicationScope().name()),
                requestClass.deduplicationWindowUs(),
                false);
    }

    private static Idempotency toBalancerIdempotency(NodeFile.Idempotency configured) {
        return switch (configured) {
            case SAFE -> Idempotency.IDEMPOTENT;
            case KEYED -> Idempotency.KEYED;
            case UNSAFE -> Idempotency.NON_IDEMPOTENT;
        };
    }
}
