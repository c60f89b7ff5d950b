package tansypass.testbed.scenario;

import java.util.stream.Collectors;
import tansypass.testbed.scenario.Scenario.Fault;
import tansypass.testbed.scenario.Scenario.RequestClass;

/** Formats a scenario as a file that {@link ScenarioFile} can read. */
public final class ScenarioToml {
    private ScenarioToml() {}

    /** Returns the text of the complete file. */
    public static String of(Scenario scenario) {
        return generalKeys(scenario)
                + nodesSection(scenario.nodes())
                + serversSection(scenario.servers())
                + clientsSection(scenario.clients())
                + linkDelaysSection(scenario.linkDelays())
                + clusterSection(scenario)
                + scenario.classes().stream()
                        .map(ScenarioToml::requestClassSection)
                        .collect(Collectors.joining())
                + scenario.faults().stream().map(ScenarioToml::faultSection).collect(Collectors.joining());
    }

    private static String generalKeys(Scenario scenario) {
        return """
                name = "%s"
                length = "%dus"
                settle = "%dus"
                """.formatted(scenario.name(), scenario.lengthUs(), scenario.settleUs());
    }

    private static String nodesSection(Scenario.Nodes nodes) {
        return """

                [nodes]
                count = %d
                zones = [%s]
                %slog = "%s"
                """.formatted(
                        nodes.count(),
                        TomlFragments.joinQuoted(nodes.zones()),
                        TomlFragments.nodeLines(nodes),
                        nodes.logLevel());
    }

    private static String serversSection(Scenario.Servers servers) {
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

    private static String clientsSection(Scenario.Clients clients) {
        return """

                [clients]
                rate = %s
                notice = "%dus"
                most = %d
                """.formatted(clients.requestsPerS(), clients.failureDetectionUs(), clients.maxOpenRequests());
    }

    private static String linkDelaysSection(Scenario.LinkDelays linkDelays) {
        return """

                [net]
                same = "%dus"
                cross = "%dus"
                """.formatted(linkDelays.sameZoneUs(), linkDelays.crossZoneUs());
    }

    private static String clusterSection(Scenario scenario) {
        if (scenario.cluster() == null) {
            return "";
        }
        return "\n[fleet]\n" + TomlFragments.probeTimingLines(scenario.cluster());
    }

    private static String requestClassSection(RequestClass requestClass) {
        return """

                [[classes]]
                name = "%s"
                share = %s
                %swork = "%dus"
                %s""".formatted(
                        requestClass.name(),
                        requestClass.share(),
                        TomlFragments.idempotencyLines(requestClass),
                        requestClass.meanWorkUs(),
                        TomlFragments.latencyLines(requestClass));
    }

    private static String faultSection(Fault fault) {
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
                        TomlFragments.tomlName(fault.kind()),
                        TomlFragments.joinQuoted(fault.targets()),
                        fault.startUs(),
                        fault.durationUs(),
                        TomlFragments.tomlName(fault.direction()),
                        fault.amount(),
                        fault.timeUs());
    }
}
