package tansypass.testbed.scenario;

import java.util.stream.Collectors;
import tansypass.testbed.scenario.Scenario.Fault;
import tansypass.testbed.scenario.Scenario.RequestClass;

/** Writes a scenario in the form that {@link ScenarioFile} reads. */
public final class ScenarioToml {
    private ScenarioToml() {}

    /** Returns the complete file. */
    public static String of(Scenario scenario) {
        return general(scenario)
                + nodes(scenario.nodes())
                + servers(scenario.servers())
                + clients(scenario.clients())
                + network(scenario.linkDelays())
                + cluster(scenario)
                + scenario.classes().stream().map(ScenarioToml::requestClass).collect(Collectors.joining())
                + scenario.faults().stream().map(ScenarioToml::fault).collect(Collectors.joining());
    }

    private static String general(Scenario scenario) {
        return """
                name = "%s"
                length = "%dus"
                settle = "%dus"
                """.formatted(scenario.name(), scenario.lengthUs(), scenario.settleUs());
    }

    private static String nodes(Scenario.Nodes nodes) {
        return """

                [nodes]
                count = %d
                zones = [%s]
                %slog = "%s"
                """.formatted(
                        nodes.count(),
                        TomlFragments.quoted(nodes.zones()),
                        TomlFragments.nodeSettings(nodes),
                        nodes.logLevel());
    }

    private static String servers(Scenario.Servers servers) {
        return """

                [servers]
                count = %d
                cores = %d
                queue = %d
                cold_from = %s
                cold = "%dus"
                handshake = "%dus"
                connections = %d
                idle = "%dus"
                cell = %d
                reports = %s
                """.formatted(
                        servers.count(),
                        servers.cores(),
                        servers.maxQueued(),
                        servers.slowStartFactor(),
                        servers.slowStartUs(),
                        servers.handshakeWorkUs(),
                        servers.maxConnections(),
                        servers.idleTimeoutUs(),
                        servers.serversPerCell(),
                        servers.sendsLoadReports());
    }

    private static String clients(Scenario.Clients clients) {
        return """

                [clients]
                rate = %s
                notice = "%dus"
                most = %d
                """.formatted(clients.requestsPerS(), clients.failureDetectionUs(), clients.maxOpenRequests());
    }

    private static String network(Scenario.LinkDelays network) {
        return """

                [net]
                same = "%dus"
                cross = "%dus"
                """.formatted(network.sameZoneUs(), network.crossZoneUs());
    }

    private static String cluster(Scenario scenario) {
        if (scenario.cluster() == null) {
            return "";
        }
        return "\n[fleet]\n" + TomlFragments.probeTiming(scenario.cluster());
    }

    private static String requestClass(RequestClass requestClass) {
        return """

                [[classes]]
                name = "%s"
                share = %s
                %swork = "%dus"
                %s""".formatted(
                        requestClass.name(),
                        requestClass.share(),
                        TomlFragments.idempotency(requestClass),
                        requestClass.meanWorkUs(),
                        TomlFragments.latency(requestClass));
    }

    private static String fault(Fault fault) {
        return """

                [[faults]]
                kind = "%s"
                on = [%s]
                at = "%dus"
                lasts = "%dus"
                way = "%s"
                amount = %s
                time = "%dus"
                """.formatted(
                        TomlFragments.nameOf(fault.kind()),
                        TomlFragments.quoted(fault.targets()),
                        fault.startUs(),
                        fault.durationUs(),
                        TomlFragments.nameOf(fault.direction()),
                        fault.amount(),
                        fault.timeUs());
    }
}
