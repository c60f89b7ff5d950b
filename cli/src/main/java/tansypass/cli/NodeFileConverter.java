package tansypass.cli;

import java.security.SecureRandom;
import java.util.List;
import tansypass.balancer.BalancerSettings;
import tansypass.balancer.DeduplicationScope;
import tansypass.balancer.Idempotency;
import tansypass.balancer.RequestClass;
import tansypass.balancer.ServerState;
import tansypass.balancer.Tenant;
import tansypass.config.NodeFile;
import tansypass.config.NodeFile.RequestClassConfig;
import tansypass.config.NodeFile.ServerConfig;
import tansypass.config.NodeFile.ServiceConfig;
import tansypass.node.configuration.NodeConfig;
import tansypass.node.endpoint.EndpointList;
import tansypass.node.endpoint.EndpointList.Endpoint;

/** Converts a node's configuration file to a {@link NodeConfig}. */
final class NodeFileConverter {
    private static final int HEX_RADIX = 16;

    private NodeFileConverter() {}

    /** Returns the configuration; its seed is random if the file has none. */
    static NodeConfig toNodeConfig(NodeFile file) {
        return new NodeConfig(
                file.listen(),
                file.discovery(),
                file.admin(),
                toSeed(file.seed()),
                file.maxDescriptors(),
                toSettings(file),
                toEndpointList(file.servers()));
    }

    private static long toSeed(String seed) {
        return seed.isEmpty() ? new SecureRandom().nextLong() : Long.parseUnsignedLong(seed, HEX_RADIX);
    }

    private static EndpointList toEndpointList(List<ServerConfig> servers) {
        return new EndpointList(
                0, true, servers.stream().map(NodeFileConverter::toEndpoint).toList());
    }

    private static Endpoint toEndpoint(ServerConfig server) {
        return new Endpoint(
                server.uid(), server.endpoint(), server.zone(), server.cell(), ServerState.READY, server.weight(), 0);
    }

    private static BalancerSettings toSettings(NodeFile file) {
        ServiceConfig service = file.service();
        return BalancerSettings.builder()
                .nodes(service.nodeCount())
                .zones(service.zones())
                .localZone(service.zones().indexOf(file.zone()))
                .classes(service.classes().stream()
                        .map(NodeFileConverter::toRequestClass)
                        .toList())
                .tenants(service.tenants().stream()
                        .map(tenant -> new Tenant(tenant.name(), tenant.quotaPerS()))
                        .toList())
                .maxAttempts(service.maxAttempts())
                .hedging(service.hedging())
                .cancel(service.cancellation())
                .probes(service.probes())
                .maxRetryAfterUs(service.maxRetryAfterUs())
                .connectTimeoutUs(service.connectTimeoutUs())
                .connectionIdleUs(service.idleTimeoutUs())
                .drainGraceUs(service.drainGraceUs())
                .slowStartCapacity(service.slowStartFactor())
                .slowStartUs(service.slowStartUs())
                .build();
    }

    private static RequestClass toRequestClass(RequestClassConfig configured) {
        return new RequestClass(
                configured.name(),
                configured.latencyObjectiveUs(),
                0,
                configured.deadlineUs(),
                configured.priorityWeight(),
                configured.residualWeight(),
                toIdempotency(configured.idempotency()),
                toDeduplicationScope(configured.deduplicationScope()),
                configured.deduplicationWindowUs(),
                false);
    }

    private static Idempotency toIdempotency(NodeFile.Idempotency configured) {
        return switch (configured) {
            case SAFE -> Idempotency.IDEMPOTENT;
            case KEYED -> Idempotency.KEYED;
            case UNSAFE -> Idempotency.NON_IDEMPOTENT;
        };
    }

    private static DeduplicationScope toDeduplicationScope(NodeFile.DeduplicationScope configured) {
        return switch (configured) {
            case ALL -> DeduplicationScope.ALL;
            case ZONE -> DeduplicationScope.ZONE;
            case CELL -> DeduplicationScope.CELL;
        };
    }
}
