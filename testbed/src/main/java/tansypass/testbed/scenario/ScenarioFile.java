package tansypass.testbed.scenario;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import tansypass.config.InvalidConfigException;
import tansypass.config.NodeFile;
import tansypass.config.ProbeTiming;
import tansypass.config.RequestClassReader;
import tansypass.config.TomlFile;
import tansypass.config.TomlTableReader;
import tansypass.testbed.scenario.Scenario.Clients;
import tansypass.testbed.scenario.Scenario.Cluster;
import tansypass.testbed.scenario.Scenario.Fault;
import tansypass.testbed.scenario.Scenario.FaultDirection;
import tansypass.testbed.scenario.Scenario.Kind;
import tansypass.testbed.scenario.Scenario.LinkDelays;
import tansypass.testbed.scenario.Scenario.Nodes;
import tansypass.testbed.scenario.Scenario.RequestClass;
import tansypass.testbed.scenario.Scenario.Servers;

/** Reads scenario files; {@code scenarios/annotated.toml} shows all keys. */
public final class ScenarioFile {
    private static final long HOUR_US = 3_600_000_000L;
    private static final long MINUTE_US = 60_000_000L;
    private static final String TARGET = "(node|server)-([0-9]{1,4}|\\*)|clients|discovery";
    private static final String TARGET_ALLOWED = "node-N, server-N, node-*, server-*, clients or discovery";

    /**
     * The lowest rate of a link, in bytes per second. At a lower rate single messages take seconds, as if the link were
     * cut.
     */
    public static final double MIN_RATE_BYTES_PER_S = 1_000;

    private ScenarioFile() {}

    /**
     * Reads a scenario file.
     *
     * @throws InvalidConfigException with all errors of the file
     */
    public static Scenario read(String file) throws InvalidConfigException {
        return TomlFile.read(file, Map.of(), ScenarioFile::readScenario);
    }

    /**
     * Parses the text of a scenario file.
     *
     * @param name the name of the file in error messages
     * @throws InvalidConfigException with all errors of the text
     */
    public static Scenario parse(String text, String name) throws InvalidConfigException {
        return TomlFile.parse(text, name, Map.of(), ScenarioFile::readScenario);
    }

    private static Scenario readScenario(TomlTableReader root) {
        List<TomlTableReader> classTables = root.requireTables("classes");
        Scenario scenario = new Scenario(
                root.requireString("name", NodeFile.NAME_PATTERN, NodeFile.ALLOWED_NAMES),
                root.requireDurationUs("length", 100_000, HOUR_US),
                root.getDurationUs("settle", 0, MINUTE_US, 3_000_000),
                readNodes(root.getTable("nodes")),
                readServers(root.getTable("servers")),
                readClients(root.getTable("clients")),
                readLinkDelays(root.getTable("net")),
                root.has("fleet") ? readCluster(root.getTable("fleet")) : null,
                classTables.stream().map(ScenarioFile::readRequestClass).toList(),
                root.getTables("faults").stream().map(ScenarioFile::readFault).toList());
        List<TomlTableReader> faultTables = root.getTables("faults");
        for (int i = 0; i < faultTables.size(); i++) {
            validateFault(scenario, scenario.faults().get(i), faultTables.get(i));
        }
        return scenario;
    }

    private static Nodes readNodes(TomlTableReader table) {
        List<String> zones = table.getStrings("zones", NodeFile.NAME_PATTERN, NodeFile.ALLOWED_NAMES);
        return new Nodes(
                (int) table.getLong("count", 1, 2_000, 3),
                zones.isEmpty() ? List.of("a") : zones,
                (int) table.getLong("attempts", 1, 100, 3),
                table.getBoolean("second_copies", false),
                table.getBoolean("cancel", true),
                table.getDurationUs("retry_after", 0, MINUTE_US, 0),
                table.getDurationUs("connect_timeout", 1_000, MINUTE_US, 100_000),
                table.getDurationUs("drain_grace", 0, MINUTE_US, 1_000_000),
                table.getEnum("log", NodeFile.LogLevel.class, NodeFile.LogLevel.INFO)
                        .name()
                        .toLowerCase(Locale.ROOT));
    }

    private static Servers readServers(TomlTableReader table) {
        return new Servers(
                (int) table.getLong("count", 1, 10_000, 8),
                (int) table.getLong("cores", 1, 256, 1),
                (int) table.getLong("queue", 0, 100_000, 250),
                table.getDouble("cold_from", 0.01, 1, 0.3),
                table.getDurationUs("cold", 0, HOUR_US, 15_000_000),
                table.getDurationUs("handshake", 0, MINUTE_US, 2_000),
                (int) table.getLong("connections", 1, 100_000, 600),
                table.getDurationUs("idle", 100_000, HOUR_US, 10_000_000),
                (int) table.getLong("cell", 1, 10_000, 4),
                table.getBoolean("reports", false));
    }

    private static Clients readClients(TomlTableReader table) {
        return new Clients(
                table.getDouble("rate", 0.1, 1e6, 100), table.getDurationUs("notice", 0, MINUTE_US, 1_000_000), (int)
                        table.getLong("most", 1, 1_000_000, 10_000));
    }

    private static LinkDelays readLinkDelays(TomlTableReader table) {
        return new LinkDelays(
                table.getDurationUs("same", 0, MINUTE_US, 0), table.getDurationUs("cross", 0, MINUTE_US, 0));
    }

    private static Cluster readCluster(TomlTableReader table) {
        ProbeTiming probeTiming = ProbeTiming.read(table);
        return new Cluster(probeTiming.intervalUs(), probeTiming.timeoutUs());
    }

    private static RequestClass readRequestClass(TomlTableReader table) {
        RequestClassReader commonKeys = new RequestClassReader(table, HOUR_US);
        return new RequestClass(
                table.requireString(
                        "name",
                        "[a-z][a-z0-9-]{0,31}",
                        "a lower-case letter, then up to 31 lower-case letters, digits or '-'"),
                table.getDouble("share", 0, 1e6, 1),
                commonKeys.readIdempotency(),
                commonKeys.readDeduplicationScope(),
                commonKeys.readDeduplicationWindowUs(5_000_000),
                table.getDurationUs("work", 0, MINUTE_US, 10_000),
                commonKeys.readLatencyObjectiveUs(200_000),
                commonKeys.readDeadlineUs(400_000));
    }

    private static Fault readFault(TomlTableReader table) {
        Kind kind = table.getEnum("kind", Kind.class, null);
        List<String> targets = table.getStrings("on", TARGET, TARGET_ALLOWED);
        if (table.isValid() && targets.size() != (kind.isLinkFault() ? 2 : 1)) {
            table.addError(
                    "on",
                    kind.isLinkFault()
                            ? "a fault of a link needs the names of both ends, but the list has " + targets.size()
                            : "a fault of a process needs one name, but the list has " + targets.size());
        }
        long startUs = table.requireDurationUs("at", 0, HOUR_US);
        long durationUs = table.getDurationUs("lasts", 0, HOUR_US, 1_000_000);
        FaultDirection direction = table.getEnum("way", FaultDirection.class, FaultDirection.BOTH);
        double amount = kind == Kind.RATE
                ? table.getDouble("amount", MIN_RATE_BYTES_PER_S, 1e9, 100_000)
                : table.getDouble("amount", 0, 1, 0.5);
        return new Fault(
                kind,
                startUs,
                durationUs,
                targets,
                direction,
                amount,
                table.getDurationUs("time", 0, MINUTE_US, 100_000));
    }

    /** Adds an error if a target of the fault does not exist, or if this kind of fault can't affect its targets. */
    private static void validateFault(Scenario scenario, Fault fault, TomlTableReader table) {
        if (!table.isValid()) {
            return;
        }
        for (String target : fault.targets()) {
            int count = target.startsWith("node")
                    ? scenario.nodes().count()
                    : scenario.servers().count();
            if (target.matches(".*[0-9]") && Integer.parseInt(target.substring(target.indexOf('-') + 1)) >= count) {
                table.addError("on", "\"" + target + "\" does not exist; the numbers go from 0 to " + (count - 1));
            }
        }
        String firstTarget = fault.targets().get(0);
        boolean isAllowed = switch (fault.kind()) {
            case KILL -> firstTarget.startsWith("node") || firstTarget.startsWith("server");
            case TERM, PAUSE -> firstTarget.startsWith("node");
            case DRAIN, CHOKE, HANG, ERRORS -> firstTarget.startsWith("server");
            case SILENCE -> firstTarget.equals("discovery");
            case DUPLICATE, REORDER -> fault.isBetweenNodes();
            default ->
                fault.isBetweenNodes()
                        || (firstTarget.startsWith("node")
                                && fault.targets().get(1).startsWith("server"))
                        || (firstTarget.equals("clients")
                                && fault.targets().get(1).startsWith("node"));
        };
        if (!isAllowed) {
            table.addError(
                    "on",
                    "this kind of fault can't affect " + String.join(" and ", fault.targets())
                            + "; a link goes from a node to a server or node, or from clients to a node");
        } else if (fault.isBetweenNodes() && scenario.cluster() == null) {
            table.addError("on", "is a link between nodes, which exists only if the file has [fleet]");
        }
    }
}
