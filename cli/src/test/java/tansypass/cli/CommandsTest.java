package tansypass.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;
import tansypass.config.NodeFile;
import tansypass.node.configuration.NodeConfig;
import tansypass.platform.NodeConfigJsonReader;

class CommandsTest {
    private static final String NODE_FILE = """
            [node]
            name = "n1"
            listen = "127.0.0.1:8443"
            zone = "b"
            seed = "7"
            [service]
            zones = ["a", "b"]
            retry_after = "600ms"
            [[servers]]
            uid = "s1"
            endpoint = "127.0.0.1:1"
            zone = "b"
            cell = 3
            [[classes]]
            name = "search"
            repeat = "safe"
            aim = "200ms"
            deadline = "400ms"
            """;

    /** A file in which no value is the default. */
    private static final String FILE_WITH_ALL_VALUES = """
            [node]
            listen = "127.0.0.1:8443"
            admin = "127.0.0.1:9443"
            zone = "b"
            sockets = 500
            seed = "8c1f30d27a5be964"
            [discovery]
            address = "127.0.0.1:8500"
            [service]
            zones = ["a", "b"]
            nodes = 4
            attempts = 5
            second_copies = true
            cancel = true
            probes = true
            retry_after = "600ms"
            connect_timeout = "100ms"
            idle = "10s"
            drain_grace = "3s"
            cold_from = 0.5
            cold = "25s"
            [[servers]]
            uid = "s1"
            endpoint = "127.0.0.1:1"
            zone = "b"
            cell = 3
            weight = 2.5
            [[tenants]]
            name = "acme"
            quota_per_s = 7.5
            [[classes]]
            name = "search"
            repeat = "keyed"
            group = "cell"
            aim = "200ms"
            deadline = "400ms"
            worth = 5.0
            late_worth = 0.25
            window = "2s"
            """;

    /** The configuration from the platform that equals {@link #FILE_WITH_ALL_VALUES}. */
    private static final String ALL_VALUES_JSON = """
            {"listen":"127.0.0.1:8443","admin":"127.0.0.1:9443","discovery":"127.0.0.1:8500",
             "seed":"8c1f30d27a5be964","limits":{"sockets":500},
             "known":{"rev":0,"all":true,"targets":[{"uid":"s1","endpoint":"127.0.0.1:1","az":"b","pod_group":3,
              "state":"Ready","capacity_hint":2.5,"boot_ms":0}]},
             "settings":{"balancers":4,"zones":["a","b"],"myZone":"b","membershipMode":"pushed",
              "realms":[{"name":"acme","quotaPerS":7.5}],
              "classes":[{"name":"search","repeat":"keyed","group":"cell","onTimeUs":200000,"giveUpUs":400000,
               "importance":5.0,"lateWorth":0.25,"windowUs":2000000}],
              "limits":{"attemptsCap":5,"parallelTries":true,"cancelling":true,"probes":true,"retryAfter":true,
               "maxRetryAfterUs":600000,"dialTimeoutUs":100000,"connIdleUs":10000000},
              "rules":{"drainGraceUs":3000000,"coldFrom":0.5,"coldUs":25000000}}}""";

    @TempDir
    private Path folder;

    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    private int run(String... args) {
        CommandLine commandLine = Main.commandLine();
        commandLine.setOut(new PrintWriter(out)).setErr(new PrintWriter(err));
        return commandLine.execute(args);
    }

    private String writeFile(String text) throws IOException {
        return Files.writeString(folder.resolve("n.toml"), text).toString();
    }

    @Test
    void checkReportsEachError() throws IOException {
        assertEquals(Exit.OK, run("check", writeFile(NODE_FILE)));
        assertTrue(out.toString().endsWith("n.toml: fit for use\n"), out.toString());
        assertEquals(Exit.INVALID_INPUT, run("check", writeFile(NODE_FILE.replace("400ms", "400"))));
        assertTrue(out.toString().contains("n.toml:18: classes[0].deadline: \"400\""), out.toString());
        assertTrue(out.toString().endsWith("1 fault\n"), out.toString());
    }

    @Test
    void exploreWritesResultAsJson() throws IOException {
        Path json = folder.resolve("explored.json");
        String scenario = """
                name = "w"
                length = "1s"
                [[classes]]
                name = "search"
                """;
        assertEquals(
                Exit.OK,
                run(
                        "testbed",
                        "explore",
                        writeFile(scenario),
                        "--most",
                        "3",
                        "--threads",
                        "1",
                        "--json",
                        json.toString()));
        assertEquals("{\"scenario\":\"w\",\"first_seed\":1,\"tried\":3}", Files.readString(json));
        assertTrue(out.toString().endsWith("no rule was broken\n"), out.toString());
    }

    @Test
    void rejectsInvalidClusterSizesAndLossRates() {
        assertEquals(Exit.INVALID_INPUT, run("testbed", "cluster", "--nodes", "10,2"));
        assertEquals(Exit.INVALID_INPUT, run("rig", "fleet", "--loss", "1"));
    }

    @Test
    void acceptsHelpAndVersionAndRejectsUnknownCommands() {
        assertEquals(Exit.OK, run("--help"));
        assertTrue(out.toString().contains("Exit codes:"));
        assertEquals(Exit.OK, run("--version"));
        assertEquals(Exit.INVALID_INPUT, run("fly"));
        assertEquals(Exit.INVALID_INPUT, run());
        assertEquals(Exit.INVALID_INPUT, run("drain", "sideways", "127.0.0.1:1"));
    }

    @Test
    void statusReportsUnreachableNodeInOneLine() {
        assertEquals(Exit.FAILED, run("status", "127.0.0.1:1"));
        assertTrue(err.toString().startsWith("tansypass: no answer at 127.0.0.1:1"), err.toString());
        assertEquals(1, err.toString().lines().count(), err.toString());
    }

    @Test
    void convertsEachValueOfFileToNodeConfig() throws Exception {
        NodeConfig expected = NodeConfigJsonReader.read(ALL_VALUES_JSON, Map.of());
        NodeConfig converted = NodeFileConverter.toNodeConfig(NodeFile.read(writeFile(FILE_WITH_ALL_VALUES), Map.of()));
        assertEquals(expected, converted);
    }

    @Test
    void convertsFileWithoutDiscoveryAdminAndSeed() throws Exception {
        NodeFile file = NodeFile.read(writeFile(NODE_FILE.replace("seed = \"7\"\n", "")), Map.of());
        NodeConfig config = NodeFileConverter.toNodeConfig(file);
        assertNull(config.discovery());
        assertNull(config.admin());
        assertNotEquals(config.seed(), NodeFileConverter.toNodeConfig(file).seed());
        assertEquals(1, config.settings().localZone());
        assertEquals(600_000, config.settings().maxRetryAfterUs());
        assertEquals(3, config.initialEndpoints().endpoints().get(0).cell());
        assertEquals(
                new InetSocketAddress("127.0.0.1", 1),
                config.initialEndpoints().endpoints().get(0).address());
    }

    @Test
    void findsChangedKeysThatNeedRestart() throws Exception {
        NodeFile old = NodeFile.read(writeFile(NODE_FILE), Map.of());
        NodeFile withOtherAddress = NodeFile.read(writeFile(NODE_FILE.replace(":8443", ":8444")), Map.of());
        assertEquals(List.of("node.listen"), ConfigReloader.findKeysNeedingRestart(old, withOtherAddress));
        NodeFile moreVerbose = NodeFile.read(writeFile(NODE_FILE + "[log]\nlevel = \"debug\"\n"), Map.of());
        assertEquals(List.of(), ConfigReloader.findKeysNeedingRestart(old, moreVerbose));
    }
}
