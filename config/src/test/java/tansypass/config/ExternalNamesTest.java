package tansypass.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The keys and values of a node's file. Existing files depend on them, so they must not change. */
class ExternalNamesTest {
    private static final String FILE_WITH_UNKNOWN_KEYS = """
            x = 1
            [node]
            x = 1
            [discovery]
            x = 1
            [log]
            x = 1
            format = "x"
            level = "x"
            [fleet]
            x = 1
            [service]
            x = 1
            [[servers]]
            x = 1
            [[tenants]]
            x = 1
            [[classes]]
            x = 1
            repeat = "x"
            group = "x"
            """;

    private static final String RECORDED_ERRORS = """
            TANSYPASS_NODE_X: node.x: is not known; allowed here: name, listen, admin, zone, sockets, seed
            F:1: x: is not known; allowed here: node, discovery, service, classes, tenants, servers, log, fleet
            F:5: discovery.x: is not known; allowed here: address
            F:7: log.x: is not known; allowed here: format, level, queue
            F:8: log.format: "x" is not allowed; allowed: one of text, json
            F:9: log.level: "x" is not allowed; allowed: one of trace, debug, info, warn, error
            F:11: fleet.x: is not known; allowed here: period, probe, listen, advertise, deployment, seeds
            F:13: service.x: is not known; allowed here: zones, nodes, attempts, second_copies, cancel, probes,\
             retry_after, connect_timeout, idle, drain_grace, cold_from, cold
            F:15: servers[0].x: is not known; allowed here: zone, uid, endpoint, cell, weight
            F:17: tenants[0].x: is not known; allowed here: name, quota_per_s
            F:19: classes[0].x: is not known; allowed here: name, aim, deadline, repeat, group, worth,\
             late_worth, window
            F:20: classes[0].repeat: "x" is not allowed; allowed: one of safe, keyed, unsafe
            F:21: classes[0].group: "x" is not allowed; allowed: one of all, zone, cell
            """;

    @TempDir
    private Path folder;

    @Test
    void keysAndValuesStayAsRecorded() throws IOException {
        String file = Files.writeString(folder.resolve("n.toml"), FILE_WITH_UNKNOWN_KEYS)
                .toString();
        InvalidConfigException e =
                assertThrows(InvalidConfigException.class, () -> NodeFile.read(file, Map.of("TANSYPASS_NODE_X", "1")));
        String errors = e.getMessage()
                .lines()
                .map(line -> line.replace(file, "F"))
                .filter(line -> line.contains("x: is not known") || line.contains("one of"))
                .collect(Collectors.joining("\n", "", "\n"));
        assertEquals(RECORDED_ERRORS, errors);
    }
}
