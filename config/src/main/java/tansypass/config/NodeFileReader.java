package tansypass.config;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import tansypass.config.NodeFile.ClusterConfig;
import tansypass.config.NodeFile.LogFormat;
import tansypass.config.NodeFile.LogLevel;
import tansypass.config.NodeFile.LogSettings;
import tansypass.config.NodeFile.RequestClassConfig;
import tansypass.config.NodeFile.ServerConfig;
import tansypass.config.NodeFile.ServiceConfig;
import tansypass.config.NodeFile.TenantConfig;

/** Reads a {@link NodeFile} from TOML. Has the keys, ranges and defaults, and checks values against each other. */
final class NodeFileReader {
    private static final int MIN_DESCRIPTORS = 66;
    private static final int MAX_DESCRIPTORS = 1_000_000;
    private static final int DEFAULT_DESCRIPTORS = 1_024;
    private static final String DEFAULT_ZONE = "a";
    private static final long MILLISECOND_US = 1_000;
    private static final long SECOND_US = 1_000 * MILLISECOND_US;

    private NodeFileReader() {}

    /** Reads the complete file; {@code root} collects the errors. */
    static NodeFile read(TomlTableReader root) {
        TomlTableReader node = root.getTable("node");
        TomlTableReader discovery = root.getTable("discovery");
        ServiceConfig service = readService(root.getTable("service"), root);
        NodeFile file = new NodeFile(
                node.getString("name", NodeFile.NAME_PATTERN, NodeFile.ALLOWED_NAMES, "node"),
                node.getAddress("listen", true),
                node.getAddress("admin", false),
                node.getString(
                        "zone",
                        NodeFile.NAME_PATTERN,
                        NodeFile.ALLOWED_NAMES,
                        service.zones().get(0)),
                (int) node.getLong("sockets", MIN_DESCRIPTORS, MAX_DESCRIPTORS, DEFAULT_DESCRIPTORS),
                node.getString("seed", "[0-9a-f]{0,16}", "up to 16 hexadecimal digits", ""),
                discovery.getAddress("address", false),
                root.getTables("servers").stream()
                        .map(server -> readServer(server, service))
                        .toList(),
                service,
                readLog(root.getTable("log")),
                root.has("fleet") ? readCluster(root.getTable("fleet")) : null);
        if (node.isValid() && !service.zones().contains(file.zone())) {
            node.addError("zone", "\"" + file.zone() + "\" is not listed in service.zones");
        }
        if (file.discovery() == null && file.servers().isEmpty()) {
            discovery.addError("address", "is missing, and the file has no [[servers]]; one of the two is required");
        }
        requireUnique(root.getTables("servers"), "uid");
        return file;
    }

    private static ClusterConfig readCluster(TomlTableReader cluster) {
        ProbeTiming timing = ProbeTiming.read(cluster);
        if (cluster.isValid() && timing.timeoutUs() >= timing.intervalUs()) {
            cluster.addError(
                    "probe", timing.timeoutUs() + "us is not shorter than the period of " + timing.intervalUs() + "us");
        }
        InetSocketAddress listen = cluster.getAddress("listen", true);
        InetSocketAddress advertise = cluster.getAddress("advertise", false);
        return new ClusterConfig(
                listen,
                advertise == null ? listen : advertise,
                cluster.requireString("deployment", NodeFile.NAME_PATTERN, NodeFile.ALLOWED_NAMES),
                cluster.getAddresses("seeds"),
                timing.intervalUs(),
                timing.timeoutUs());
    }

    private static LogSettings readLog(TomlTableReader log) {
        return new LogSettings(
                log.getEnum("format", LogFormat.class, LogFormat.TEXT),
                log.getEnum("level", LogLevel.class, LogLevel.INFO),
                (int) log.getLong("queue", 16, 65_536, 1_024));
    }

    private static ServerConfig readServer(TomlTableReader server, ServiceConfig service) {
        String zone = server.getString(
                "zone",
                NodeFile.NAME_PATTERN,
                NodeFile.ALLOWED_NAMES,
                service.zones().get(0));
        if (server.isValid() && !service.zones().contains(zone)) {
            server.addError("zone", "\"" + zone + "\" is not listed in service.zones");
        }
        return new ServerConfig(
                server.requireString("uid", NodeFile.NAME_PATTERN, NodeFile.ALLOWED_NAMES),
                server.getAddress("endpoint", true),
                zone,
                (int) server.getLong("cell", 0, Integer.MAX_VALUE, 0),
                server.getDouble("weight", 0.001, 1_000, 1));
    }

    private static ServiceConfig readService(TomlTableReader service, TomlTableReader root) {
        List<String> zones = service.getStrings("zones", NodeFile.NAME_PATTERN, NodeFile.ALLOWED_NAMES);
        List<TomlTableReader> classes = root.requireTables("classes");
        requireUnique(classes, "name");
        requireUnique(root.getTables("tenants"), "name");
        return new ServiceConfig(
                (int) service.getLong("nodes", 1, 100_000, 1),
                zones.isEmpty() ? List.of(DEFAULT_ZONE) : zones,
                (int) service.getLong("attempts", 1, 100, 3),
                service.getBoolean("second_copies", false),
                service.getBoolean("cancel", false),
                service.getBoolean("probes", false),
                service.getDurationUs("retry_after", 0, NodeFile.MAX_DURATION_US, 0),
                service.getDurationUs(
                        "connect_timeout", MILLISECOND_US, NodeFile.MAX_DURATION_US, 250 * MILLISECOND_US),
                service.getDurationUs("idle", MILLISECOND_US, NodeFile.MAX_DURATION_US, 15 * SECOND_US),
                service.getDurationUs("drain_grace", 0, NodeFile.MAX_DURATION_US, SECOND_US),
                service.getDouble("cold_from", 0.01, 1, 0.2),
                service.getDurationUs("cold", 0, NodeFile.MAX_DURATION_US, 20 * SECOND_US),
                classes.stream().map(NodeFileReader::readRequestClass).toList(),
                root.getTables("tenants").stream()
                        .map(NodeFileReader::readTenant)
                        .toList());
    }

    private static RequestClassConfig readRequestClass(TomlTableReader requestClass) {
        RequestClassReader classReader = new RequestClassReader(requestClass, NodeFile.MAX_DURATION_US);
        long latencyObjectiveUs = classReader.requireLatencyObjectiveUs();
        long deadlineUs = classReader.requireDeadlineUs();
        if (requestClass.isValid() && latencyObjectiveUs > deadlineUs) {
            requestClass.addError("aim", latencyObjectiveUs + "us is longer than the deadline of " + deadlineUs + "us");
        }
        return new RequestClassConfig(
                requestClass.requireString("name", NodeFile.NAME_PATTERN, NodeFile.ALLOWED_NAMES),
                classReader.readIdempotency(),
                classReader.readDeduplicationScope(),
                latencyObjectiveUs,
                deadlineUs,
                requestClass.getDouble("worth", 0, 1e6, 1),
                requestClass.getDouble("late_worth", 0, 1, 0),
                classReader.readDeduplicationWindowUs(0));
    }

    private static TenantConfig readTenant(TomlTableReader tenant) {
        return new TenantConfig(
                tenant.requireString("name", NodeFile.NAME_PATTERN, NodeFile.ALLOWED_NAMES),
                tenant.getDouble("quota_per_s", 0, 1e9, 0));
    }

    private static void requireUnique(List<TomlTableReader> tables, String key) {
        Set<String> seen = new HashSet<>();
        for (TomlTableReader table : tables) {
            if (!seen.add(readAnyText(table, key))) {
                table.addError(key, "\"" + readAnyText(table, key) + "\" is used more than once");
            }
        }
    }

    private static String readAnyText(TomlTableReader table, String key) {
        return table.getString(key, ".*", "a string", "");
    }
}
