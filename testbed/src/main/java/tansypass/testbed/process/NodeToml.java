package tansypass.testbed.process;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.stream.Collectors;
import tansypass.testbed.model.ProcessNames;
import tansypass.testbed.scenario.Scenario;
import tansypass.testbed.scenario.Scenario.RequestClass;
import tansypass.testbed.scenario.TomlFragments;

/** Formats the configuration file of a node from a scenario. */
final class NodeToml {
    private NodeToml() {}

    /**
     * The addresses of a node.
     *
     * @param listen the address at which the node listens for clients
     * @param admin the address at which the node listens for operators
     * @param discovery the address of the node's discovery agent
     */
    record Addresses(InetSocketAddress listen, InetSocketAddress admin, InetSocketAddress discovery) {}

    /**
     * Returns the text of a node's configuration file.
     *
     * @param seed the seed of the node's random numbers, hexadecimal
     * @param membershipSection the section that {@link #membershipSection} returns, or an empty string
     */
    static String of(Scenario scenario, int node, String seed, Addresses addresses, String membershipSection) {
        return nodeSection(scenario, node, seed, addresses)
                + """
                [discovery]
                address = "%s"
                """.formatted(Channels.formatAddress(addresses.discovery))
                + serviceSection(scenario.nodes(), scenario.servers())
                + """
                [log]
                level = "%s"
                """.formatted(scenario.nodes().logLevel())
                + membershipSection
                + scenario.classes().stream().map(NodeToml::requestClassSection).collect(Collectors.joining());
    }

    private static String nodeSection(Scenario scenario, int node, String seed, Addresses addresses) {
        return """
                [node]
                name = "%s"
                listen = "%s"
                admin = "%s"
                zone = "%s"
                seed = "%s"
                """.formatted(
                        ProcessNames.node(node),
                        Channels.formatAddress(addresses.listen),
                        Channels.formatAddress(addresses.admin),
                        scenario.zone(node),
                        seed);
    }

    private static String serviceSection(Scenario.Nodes nodes, Scenario.Servers servers) {
        return """
                [service]
                nodes = %d
                zones = [%s]
                %sidle = "%dus"
                cold_from = %s
                cold = "%dus"
                """.formatted(
                        nodes.count(),
                        TomlFragments.joinQuoted(nodes.zones()),
                        TomlFragments.nodeLines(nodes),
                        servers.idleTimeoutUs(),
                        servers.slowStartFactor(),
                        servers.slowStartUs());
    }

    /**
     * Returns the section of the membership protocol.
     *
     * @param advertise the address at which other members reach the node
     * @param seeds the addresses of the members through which the node joins the cluster
     */
    static String membershipSection(
            Scenario.Cluster cluster,
            InetSocketAddress listen,
            InetSocketAddress advertise,
            List<InetSocketAddress> seeds) {
        return """
                [fleet]
                listen = "%s"
                advertise = "%s"
                deployment = "rig"
                seeds = [%s]
                %s""".formatted(
                        Channels.formatAddress(listen),
                        Channels.formatAddress(advertise),
                        TomlFragments.joinQuoted(
                                seeds.stream().map(Channels::formatAddress).toList()),
                        TomlFragments.probeTimingLines(cluster));
    }

    private static String requestClassSection(RequestClass requestClass) {
        return """
                [[classes]]
                name = "%s"
                %s%s""".formatted(
                        requestClass.name(),
                        TomlFragments.idempotencyLines(requestClass),
                        TomlFragments.latencyLines(requestClass));
    }
}
