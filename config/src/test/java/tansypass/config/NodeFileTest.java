package tansypass.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class NodeFileTest {
    private static final String MINIMAL = """
            [node]
            listen = "127.0.0.1:8443"
            [discovery]
            address = "127.0.0.1:8500"
            [[classes]]
            name = "search"
            aim = "200ms"
            deadline = "0.4s"
            """;

    @TempDir
    private Path folder;

    private String writeFile(String text) throws IOException {
        return Files.writeString(folder.resolve("node.toml"), text).toString();
    }

    private List<String> readErrors(String text, Map<String, String> environment) throws IOException {
        String file = writeFile(text);
        return assertThrows(InvalidConfigException.class, () -> NodeFile.read(file, environment)).errors().stream()
                .map(error -> error.toString().replace(file, "F"))
                .toList();
    }

    @Test
    void usesDefaultsForAllExceptAddressesAndClasses() throws Exception {
        NodeFile node = NodeFile.read(writeFile(MINIMAL), Map.of());
        assertEquals("node", node.name());
        assertEquals("a", node.zone());
        assertEquals(1_024, node.maxDescriptors());
        assertNull(node.admin());
        assertEquals(200_000, node.service().classes().get(0).latencyObjectiveUs());
        assertEquals(400_000, node.service().classes().get(0).deadlineUs());
        assertEquals(
                NodeFile.Idempotency.UNSAFE, node.service().classes().get(0).idempotency());
    }

    @Test
    void reportsAllErrorsInFileOrder() throws IOException {
        List<String> errors = readErrors("""
                [node]
                listen = "127.0.0.1:84430"
                sockets = 3
                nmae = "n"
                [[servers]]
                uid = "s"
                endpoint = "127.0.0.1:1"
                zone = "b"
                [[servers]]
                uid = "s"
                endpoint = 7
                [[classes]]
                name = "search"
                repeat = "never"
                aim = "1s"
                deadline = "2s"
                [[classes]]
                name = "book"
                aim = "2s"
                deadline = "1s"
                """, Map.of());
        assertEquals(
                List.of(
                        "F:2: node.listen: \"127.0.0.1:84430\" is not allowed; allowed: an address and port, such as"
                                + " \"127.0.0.1:8443\"",
                        "F:3: node.sockets: 3 is not allowed; allowed: a whole number from 66 to 1000000",
                        "F:4: node.nmae: is not known; allowed here: name, listen, admin, zone, sockets, seed",
                        "F:8: servers[0].zone: \"b\" is not listed in service.zones",
                        "F:10: servers[1].uid: \"s\" is used more than once",
                        "F:11: servers[1].endpoint: 7 is not allowed; allowed: an address and port, such as"
                                + " \"127.0.0.1:8443\"",
                        "F:14: classes[0].repeat: \"never\" is not allowed; allowed: one of safe, keyed, unsafe",
                        "F:19: classes[1].aim: 2000000us is longer than the deadline of 1000000us"),
                errors);
    }

    @Test
    void overridesValuesFromEnvironmentAndNamesVariablesInErrors() throws Exception {
        NodeFile node = NodeFile.read(
                writeFile(MINIMAL),
                Map.of(
                        "TANSYPASS_NODE_LISTEN",
                        "127.0.0.2:1",
                        "TANSYPASS_NODE_SOCKETS",
                        "500",
                        "TANSYPASS_SERVICE_CANCEL",
                        "true"));
        assertEquals("127.0.0.2", node.listen().getHostString());
        assertEquals(500, node.maxDescriptors());
        assertTrue(node.service().cancellation());
        assertEquals(
                List.of("TANSYPASS_NODE_SOCKETS: node.sockets: \"many\" is not allowed; allowed: a whole"
                        + " number from 66 to 1000000"),
                readErrors(MINIMAL, Map.of("TANSYPASS_NODE_SOCKETS", "many")));
    }

    /** Each row has a key, a value of the wrong type, and one out of range, which is empty if the type has no range. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "node.name | 7 | '-n'",
                "node.listen | 7 | '1.2.3.4:70000'",
                "node.admin | 7 | '1.2.3.256:1'",
                "node.zone | 7 | 'elsewhere'",
                "node.sockets | 'x' | 65",
                "node.seed | 7 | '12345678901234567'",
                "discovery.address | 7 | '1.2.3.4'",
                "service.zones | 'a' | ['-']",
                "service.nodes | 'x' | 0",
                "service.attempts | 'x' | 0",
                "service.second_copies | 1 |",
                "service.cancel | 1 |",
                "service.probes | 1 |",
                "service.retry_after | 7 | '2000000s'",
                "service.connect_timeout | 7 | '1us'",
                "service.idle | 7 | '1us'",
                "service.drain_grace | 7 | '25h'",
                "service.cold_from | 'x' | 0",
                "service.cold | 7 | '25h'",
                "classes[0].name | 7 | '-'",
                "classes[0].aim | 7 | '1us'",
                "classes[0].deadline | 7 | '25h'",
                "classes[0].repeat | 7 | 'never'",
                "classes[0].group | 7 | 'house'",
                "classes[0].worth | 'x' | -1",
                "classes[0].late_worth | 'x' | 1.5",
                "classes[0].window | 7 | '25h'",
                "tenants[0].name | 7 | '-'",
                "tenants[0].quota_per_s | 'x' | -1",
                "servers[0].uid | 7 | '-'",
                "servers[0].endpoint | 7 | 's:1'",
                "servers[0].zone | 7 | 'elsewhere'",
                "servers[0].cell | 'x' | -1",
                "servers[0].weight | 'x' | 0"
            })
    void namesEachKeyWithInvalidValue(String key, String wrongType, String outOfRange) throws IOException {
        for (String value : outOfRange == null ? List.of(wrongType) : List.of(wrongType, outOfRange)) {
            List<String> errors = readErrors(newFileText(key, value.replace('\'', '"')), Map.of());
            assertTrue(errors.stream().allMatch(error -> error.contains(": " + key + ": ")), errors.toString());
        }
    }

    /** Returns the text of a file with one table of each kind, in which the key has the value. */
    private static String newFileText(String key, String value) {
        String[] path = key.replace("[0]", "").split("\\.");
        Map<String, Map<String, String>> tables = new LinkedHashMap<>();
        tables.put("node", new LinkedHashMap<>(Map.of("listen", "\"127.0.0.1:8443\"")));
        tables.put("discovery", new LinkedHashMap<>(Map.of("address", "\"127.0.0.1:8500\"")));
        tables.put("service", new LinkedHashMap<>());
        tables.put(
                "classes",
                new LinkedHashMap<>(Map.of("name", "\"search\"", "aim", "\"200ms\"", "deadline", "\"400ms\"")));
        tables.put("tenants", new LinkedHashMap<>(Map.of("name", "\"acme\"")));
        tables.put("servers", new LinkedHashMap<>(Map.of("uid", "\"s\"", "endpoint", "\"127.0.0.1:1\"")));
        tables.get(path[0]).put(path[1], value);
        StringBuilder text = new StringBuilder();
        tables.forEach((table, values) -> {
            boolean isList = List.of("classes", "tenants", "servers").contains(table);
            text.append(isList ? "[[" + table + "]]\n" : "[" + table + "]\n");
            values.forEach((name, literal) -> text.append(name + " = " + literal + "\n"));
        });
        return text.toString();
    }

    @Test
    void reportsTomlSyntaxErrorWithLine() throws IOException {
        List<String> errors = readErrors(MINIMAL + "x y\n", Map.of());
        assertTrue(errors.get(0).startsWith("F:9: "), errors.toString());
    }

    @Test
    void rejectsMissingUndecodableAndEmptyFiles() throws IOException {
        assertThrows(InvalidConfigException.class, () -> NodeFile.read(folder + "/none.toml", Map.of()));
        Path bytes = Files.write(folder.resolve("bytes"), new byte[] {(byte) 0xff, 1});
        assertThrows(InvalidConfigException.class, () -> NodeFile.read(bytes.toString(), Map.of()));
        assertEquals(3, readErrors("", Map.of()).size());
    }

    @Test
    void formatsErrorAsOneLineWithoutControlCharacters() throws IOException {
        List<String> errors = readErrors(MINIMAL.replace("0.4s", "x\\n\\u001b[31m"), Map.of());
        assertEquals(1, errors.size());
        assertTrue(errors.get(0).chars().noneMatch(Character::isISOControl), errors.get(0));
    }
}
