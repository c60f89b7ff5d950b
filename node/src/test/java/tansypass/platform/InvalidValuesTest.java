package tansypass.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonNull;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import tansypass.node.configuration.InvalidNodeConfigException;

/**
 * Errors for invalid values, in the platform's JSON and in the simulator's handshake: the message names the key as it
 * was written, and its value.
 */
class InvalidValuesTest {
    private static final String CONFIG = """
            {"listen":"127.0.0.1:0","discovery":"none","seed":"1","limits":{"sockets":100},
             "known":{"rev":1,"all":true,"targets":[{"uid":"s","endpoint":"127.0.0.1:1","state":"Ready"}]},
             "settings":{"limits":{"retryAfter":true},"rules":{},"costs":{},
              "realms":[{"name":"t"}],
              "classes":[{"name":"a","repeat":"safe","onTimeUs":1,"giveUpUs":2}]}}""";

    private static final Map<String, String> HANDSHAKE = Map.of(
            "limits.retryAfter", "true",
            "realms.count", "1",
            "realms.0.name", "t",
            "classes.count", "1",
            "classes.0.name", "a",
            "classes.0.repeat", "safe",
            "classes.0.onTimeUs", "1",
            "classes.0.giveUpUs", "2");

    /** Keys for which every value is valid. */
    private static final Set<String> KEYS_WITHOUT_INVALID_VALUE = Set.of(
            "zones",
            "myZone",
            "countedBy",
            "membershipMode",
            "limits.parallelTries",
            "limits.cancelling",
            "limits.probes",
            "limits.retryAfter",
            "report.fields",
            "classes.0.name",
            "classes.0.stream");

    /** Rows of key, invalid value and expected problem. */
    private static final String[] INVALID_SETTINGS = {
        "balancers|0|is under 1: 0",
        "balancers|x|is not a number: x",
        "overShareWorth|-0.5|is negative: -0.5",
        "overShareWorth|x|is not a number: x",
        "quantumUs|-1|is negative: -1",
        "quantumUs|x|is not a number: x",
        "limits.attemptsCap|0|is under 1: 0",
        "limits.attemptsCap|x|is not a number: x",
        "limits.maxRetryAfterUs|-1|is negative: -1",
        "limits.maxRetryAfterUs|x|is not a number: x",
        "limits.dialTimeoutUs|-1|is negative: -1",
        "limits.dialTimeoutUs|x|is not a number: x",
        "limits.connIdleUs|-1|is negative: -1",
        "limits.connIdleUs|x|is not a number: x",
        "rules.askWithinUs|-1|is negative: -1",
        "rules.askWithinUs|x|is not a number: x",
        "rules.drainGraceUs|-1|is negative: -1",
        "rules.drainGraceUs|x|is not a number: x",
        "rules.coldFrom|1.5|is not in (0, 1]: 1.5",
        "rules.coldFrom|x|is not a number: x",
        "rules.coldUs|-1|is negative: -1",
        "rules.coldUs|x|is not a number: x",
        "rules.overloadFactor|0|is not above 0: 0.0",
        "rules.overloadFactor|x|is not a number: x",
        "rules.fallUs|-1|is negative: -1",
        "rules.fallUs|x|is not a number: x",
        "costs.crossZone|-1|is negative: -1.0",
        "costs.crossZone|x|is not a number: x",
        "costs.probe|NaN|is negative: NaN",
        "costs.probe|x|is not a number: x",
        "classes.0.onTimeUs|-1|is negative: -1",
        "classes.0.onTimeUs|x|is not a number: x",
        "classes.0.aimStretch|-1|is negative: -1.0",
        "classes.0.aimStretch|x|is not a number: x",
        "classes.0.giveUpUs|0|is not above 0: 0",
        "classes.0.giveUpUs|x|is not a number: x",
        "classes.0.importance|-1|is negative: -1.0",
        "classes.0.importance|x|is not a number: x",
        "classes.0.lateWorth|-1|is negative: -1.0",
        "classes.0.lateWorth|x|is not a number: x",
        "classes.0.windowUs|-1|is negative: -1",
        "classes.0.windowUs|x|is not a number: x",
        "classes.0.repeat|never|is unknown: never",
        "classes.0.group|house|is unknown: house",
        "realms.0.quotaPerS|x|is not a number: x"
    };

    private static JsonObject parse(String json) {
        return JsonParser.parseString(json).getAsJsonObject();
    }

    /** Sets a value at a path such as {@code settings.classes.0.name}. */
    private static void set(JsonObject document, String path, JsonElement value) {
        String[] keys = path.split("\\.");
        JsonElement parent = document;
        for (int i = 0; i < keys.length - 1; i++) {
            parent = parent instanceof JsonArray items
                    ? items.get(Integer.parseInt(keys[i]))
                    : parent.getAsJsonObject().get(keys[i]);
        }
        parent.getAsJsonObject().add(keys[keys.length - 1], value);
    }

    private static String readErrorMessage(String path, JsonElement value) {
        JsonObject config = parse(CONFIG);
        set(config, path, value);
        return assertThrows(
                        InvalidNodeConfigException.class, () -> NodeConfigJsonReader.read(config.toString(), Map.of()))
                .getMessage();
    }

    @Test
    void eachSettingHasARowOrNoInvalidValue() {
        Set<String> coveredKeys = new TreeSet<>(KEYS_WITHOUT_INVALID_VALUE);
        for (String row : INVALID_SETTINGS) {
            coveredKeys.add(row.substring(0, row.indexOf('|')));
        }
        Set<String> allKeys = new TreeSet<>(Set.of("realms.0.quotaPerS"));
        for (SettingKey key : SettingKey.values()) {
            allKeys.add(key.section().isEmpty() ? key.wireName() : key.section() + "." + key.wireName());
        }
        allKeys.removeAll(Set.of("classes", "realms"));
        Arrays.stream(RequestClassKey.values()).forEach(key -> allKeys.add("classes.0." + key.wireName()));
        assertEquals(allKeys, coveredKeys);
    }

    @Test
    void anInvalidSettingIsNamedAsWritten() {
        for (String row : INVALID_SETTINGS) {
            String[] columns = row.split("\\|");
            Map<String, String> handshake = new HashMap<>(HANDSHAKE);
            handshake.put(columns[0], columns[1]);
            InvalidValueException e =
                    assertThrows(InvalidValueException.class, () -> HandshakeSettings.read(handshake), row);
            assertEquals(columns[0] + " " + columns[2], e.getMessage());
            assertEquals(
                    "settings." + columns[0].replace(".0.", "[0].") + " " + columns[2],
                    readErrorMessage(
                            "settings." + columns[0],
                            parse("{\"v\":\"" + columns[1] + "\"}").get("v")));
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"classes.0.name", "classes.0.repeat", "classes.0.onTimeUs", "classes.0.giveUpUs", "realms.0.name"
            })
    void aMissingSettingIsNamedAsWritten(String path) {
        Map<String, String> handshake = new HashMap<>(HANDSHAKE);
        handshake.remove(path);
        InvalidValueException e = assertThrows(InvalidValueException.class, () -> HandshakeSettings.read(handshake));
        assertEquals(path + " is missing", e.getMessage());
        assertEquals(
                "settings." + path.replace(".0.", "[0].") + " is missing",
                readErrorMessage("settings." + path, JsonNull.INSTANCE));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "listen | 'host:80' | listen is not an address and port: host:80",
                "discovery | '10.0.0.1' | discovery is not an address and port: 10.0.0.1",
                "admin | '10.0.0.1:99999' | admin is not an address and port: 10.0.0.1:99999",
                "seed | 'xyz' | seed is not a hexadecimal number of up to 16 digits: xyz",
                "limits.sockets | 65 | limits.sockets is under 66: 65",
                "limits.sockets | 'many' | limits.sockets is not a number: many",
                "limits | 5 | limits is missing or no object",
                "settings | [] | settings is missing or no object",
                "settings.zones | ['a',{}] | settings.zones has a value of the wrong form: {}",
                "known | null | LIST null",
                "known.rev | 'x' | LIST rev is not a number: x",
                "known.all | [] | LIST all is no flag: []",
                "known.targets | 7 | LIST targets is no list: 7",
                "known.targets.0.uid | null | LIST targets[0].uid is no text: null",
                "known.targets.0.endpoint | 's:1' | LIST targets[0].endpoint is not an address and port: s:1",
                "known.targets.0.state | 'Odd' | LIST targets[0].state is unknown: Odd",
                "known.targets.0.az | {} | LIST targets[0].az is no text: {}",
                "known.targets.0.pod_group | 'x' | LIST targets[0].pod_group is not a number: x",
                "known.targets.0.capacity_hint | 'x' | LIST targets[0].capacity_hint is not a number: x",
                "known.targets.0.boot_ms | [1] | LIST targets[0].boot_ms is no number: [1]"
            })
    void anInvalidValueOfTheConfigurationIsNamedAsWritten(String path, String value, String message) {
        assertEquals(
                message.replace("LIST", "known: not an endpoint list:"),
                readErrorMessage(
                        path, parse("{\"v\":" + value.replace('\'', '"') + "}").get("v")));
    }

    @ParameterizedTest
    @ValueSource(strings = {"LB_LISTEN", "LB_DISCOVERY", "LB_ADMIN"})
    void anInvalidVariableIsNamed(String variable) {
        InvalidNodeConfigException e = assertThrows(
                InvalidNodeConfigException.class, () -> NodeConfigJsonReader.read(CONFIG, Map.of(variable, "x")));
        assertTrue(e.getMessage().startsWith(variable + " "), e.getMessage());
    }
}
