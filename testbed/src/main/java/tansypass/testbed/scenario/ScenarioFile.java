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

/** Reads scenario files; scenarios/annotated.toml shows all keys. */
public final class ScenarioFile {
    private static final long HOUR_US = 3_600_000_000L;
    private static final long MINUTE_US = 60_000_000L;
    private static final String END = "(node|server)-([0-9]{1,4}|\\*)|clients|discovery";
    private static final String END_ALLOWED = "node-N, server-N, node-*, server-*, clients or discovery";

    /** The least rate of a link in bytes a second: under it single messages take seconds, as if it were cut. */
    public static final double MIN_RATE_BYTES_PER_S = 1_000;

    private ScenarioFile() {}

    /**
     * Reads a file.
     *
     * @throws InvalidConfigException with all errors in it
     */
    public static Scenario read(String file) throws InvalidConfigException {
        return TomlFile.read(file, Map.of(), ScenarioFile::of);
    }

    /**
     * Parses a text, which errors call {@code name}.
     *
     * @throws InvalidConfigException with all errors in it
     */
    public static Scenario parse(String text, String name) throws InvalidConfigException {
        return TomlFile.parse(text, name, Map.of(), ScenarioFile::of);
    }

    private static Scenario of(TomlTableReader root) {
        List<TomlTableReader> classes = root.requireTables("classes");
        Scenario made = new Scenario(
                root.requireString("name", NodeFile.NAME, NodeFile.NAME_ALLOWED),
                root.requireDurationUs("length", 100_000, HOUR_US),
                root.getDurationUs("settle", 0, MINUTE_US, 3_000_000),
                nodes(root.getTable("nodes")),
                servers(root.getTable("servers")),
                clients(root.getTable("clients")),
                net(root.getTable("net")),
                root.has("fleet") ? cluster(root.getTable("fleet")) : null,
                classes.stream().map(ScenarioFile::requestClass).toList(),
                root.getTables("faults").stream().map(ScenarioFile::fault).toList());
        List<TomlTableReader> faults = root.getTables("faults");
        for (int i = 0; i < faults.size(); i++) {
            fits(made, made.faults().get(i), faults.get(i));
        }
        return made;
    }

    private static Nodes nodes(TomlTableReader nodes) {
        List<String> zones = nodes.getStrings("zones", NodeFile.NAME, NodeFile.NAME_ALLOWED);
        return new Nodes(
                (int) nodes.getLong("count", 1, 2_000, 3),
                zones.isEmpty() ? List.of("a") : zones,
                (int) nodes.getLong("attempts", 1, 100, 3),
                nodes.getBoolean("second_copies", false),
                nodes.getBoolean("cancel", true),
                nodes.getDurationUs("retry_after", 0, MINUTE_US, 0),
                nodes.getDurationUs("connect_timeout", 1_000, MINUTE_US, 100_000),
                nodes.getDurationUs("drain_grace", 0, MINUTE_US, 1_000_000),
                nodes.getEnum("log", NodeFile.LogLevel.class, NodeFile.LogLevel.INFO)
                        .name()
                        .toLowerCase(Locale.ROOT));
    }

    private static Servers servers(TomlTableReader servers) {
        return new Servers(
                (int) servers.getLong("count", 1, 10_000, 8),
                (int) servers.getLong("cores", 1, 256, 1),
                (int) servers.getLong("queue", 0, 100_000, 250),
                servers.getDouble("cold_from", 0.01, 1, 0.3),
                servers.getDurationUs("cold", 0, HOUR_US, 15_000_000),
                servers.getDurationUs("handshake", 0, MINUTE_US, 2_000),
                (int) servers.getLong("connections", 1, 100_000, 600),
                servers.getDurationUs("idle", 100_000, HOUR_US, 10_000_000),
                (int) servers.getLong("cell", 1, 10_000, 4),
                servers.getBoolean("reports", false));
    }

    private static Clients clients(TomlTableReader clients) {
        return new Clients(
                clients.getDouble("rate", 0.1, 1e6, 100),
                clients.getDurationUs("notice", 0, MINUTE_US, 1_000_000),
                (int) clients.getLong("most", 1, 1_000_000, 10_000));
    }

    private static LinkDelays net(TomlTableReader net) {
        return new LinkDelays(net.getDurationUs("same", 0, MINUTE_US, 0), net.getDurationUs("cross", 0, MINUTE_US, 0));
    }

    private static Cluster cluster(TomlTableReader cluster) {
        ProbeTiming probes = ProbeTiming.read(cluster);
        return new Cluster(probes.intervalUs(), probes.timeoutUs());
    }

    private static RequestClass requestClass(TomlTableReader line) {
        RequestClassReader common = new RequestClassReader(line, HOUR_US);
        return new RequestClass(
                line.requireString("name", "[a-z][a-z0-9-]{0,31}", "a small letter, then letters, digits, -"),
                line.getDouble("share", 0, 1e6, 1),
                common.readIdempotency(),
                common.readDeduplicationScope(),
                common.readDeduplicationWindowUs(5_000_000),
                line.getDurationUs("work", 0, MINUTE_US, 10_000),
                common.readLatencyObjectiveUs(200_000),
                common.readDeadlineUs(400_000));
    }

    private static Fault fault(TomlTableReader line) {
        Kind kind = line.getEnum("kind", Kind.class, null);
        List<String> target = line.getStrings("on", END, END_ALLOWED);
        if (line.isValid() && target.size() != (kind.isLinkFault() ? 2 : 1)) {
            line.addError(
                    "on",
                    kind.isLinkFault()
                            ? "a fault of a link needs its two ends"
                            : "a fault of a process needs one name");
        }
        long atUs = line.requireDurationUs("at", 0, HOUR_US);
        long lastsUs = line.getDurationUs("lasts", 0, HOUR_US, 1_000_000);
        FaultDirection way = line.getEnum("way", FaultDirection.class, FaultDirection.BOTH);
        double amount = kind == Kind.RATE
                ? line.getDouble("amount", MIN_RATE_BYTES_PER_S, 1e9, 100_000)
                : line.getDouble("amount", 0, 1, 0.5);
        return new Fault(kind, atUs, lastsUs, target, way, amount, line.getDurationUs("time", 0, MINUTE_US, 100_000));
    }

    /** Whether the fault can be on what it names, and that exists. */
    private static void fits(Scenario scenario, Fault fault, TomlTableReader line) {
        if (!line.isValid()) {
            return;
        }
        for (String end : fault.targets()) {
            int count = end.startsWith("node")
                    ? scenario.nodes().count()
                    : scenario.servers().count();
            if (end.matches(".*[0-9]") && Integer.parseInt(end.substring(end.indexOf('-') + 1)) >= count) {
                line.addError("on", "\"" + end + "\" is not there: they are numbered 0 to " + (count - 1));
            }
        }
        String first = fault.targets().get(0);
        boolean fits = switch (fault.kind()) {
            case KILL -> first.startsWith("node") || first.startsWith("server");
            case TERM, PAUSE -> first.startsWith("node");
            case DRAIN, CHOKE, HANG, ERRORS -> first.startsWith("server");
            case SILENCE -> first.equals("discovery");
            case DUPLICATE, REORDER -> fault.isBetweenNodes();
            default ->
                fault.isBetweenNodes()
                        || (first.startsWith("node") && fault.targets().get(1).startsWith("server"))
                        || (first.equals("clients") && fault.targets().get(1).startsWith("node"));
        };
        if (!fits) {
            line.addError(
                    "on",
                    "this kind of fault can't be on " + String.join(" and ", fault.targets())
                            + "; links are from node to server or node, or from clients to node");
        } else if (fault.isBetweenNodes() && scenario.cluster() == null) {
            line.addError("on", "is a link between nodes, which need [fleet] to have one");
        }
    }
}
