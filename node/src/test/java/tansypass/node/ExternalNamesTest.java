package tansypass.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import tansypass.balancer.BalancerSettings;
import tansypass.node.admin.NodeMetrics;
import tansypass.node.lifecycle.Lifecycle;
import tansypass.platform.EndpointListJsonReader;
import tansypass.platform.HandshakeSettings;
import tansypass.platform.InvalidValueException;
import tansypass.platform.MalformedEndpointListException;

/** External names, which must not change: operators' tools and the platform depend on them. */
class ExternalNamesTest {
    private static final String ENTRY = "{\"uid\":\"s-1\",\"endpoint\":\"127.0.0.1:80\",\"az\":\"b\","
            + "\"pod_group\":4,\"state\":\"%s\",\"capacity_hint\":2.5,\"boot_ms\":99}";

    private static JsonObject parseList(String state) {
        return JsonParser.parseString("{\"rev\":7,\"all\":false,\"targets\":[" + ENTRY.formatted(state) + "]}")
                .getAsJsonObject();
    }

    @Test
    void lifecycleStatesStayAsRecorded() {
        assertEquals(
                List.of("STARTING", "TAKING", "LAME_DUCK", "STOPPING"),
                Arrays.stream(Lifecycle.State.values()).map(Object::toString).toList());
    }

    @Test
    void metricNamesStayAsRecorded() {
        assertEquals(
                List.of(
                        "node.requests.view.served",
                        "node.requests.view.refused",
                        "node.requests.view.failed",
                        "node.attempts",
                        "node.in_flight",
                        "node.abandoned",
                        "node.web_servers_known",
                        "node.web_servers_excluded"),
                new NodeMetrics(List.of("view"))
                        .format()
                        .lines()
                        .map(line -> line.substring(0, line.indexOf('=')))
                        .toList());
    }

    @Test
    void outcomesOfStatusesStayAsRecorded() {
        Map<String, String> outcomes = new TreeMap<>();
        for (int status : new int[] {200, 204, 302, 400, 429, 500, 502, 503, 504}) {
            outcomes.merge(
                    NodeMetrics.Outcome.of(HttpResponseStatus.valueOf(status)).name(), " " + status, String::concat);
        }
        assertEquals("{FAILED= 204 302 400 500 502 504, REFUSED= 429 503, SERVED= 200}", outcomes.toString());
    }

    private static BalancerSettings readSettings(String key, String value) throws InvalidValueException {
        Map<String, String> settings = new HashMap<>(Map.of(
                "classes.count", "1",
                "classes.0.name", "view",
                "classes.0.repeat", "safe",
                "classes.0.onTimeUs", "1",
                "classes.0.giveUpUs", "2"));
        settings.put(key, value);
        return HandshakeSettings.read(settings);
    }

    @Test
    void valuesOfSettingsStayAsRecorded() throws InvalidValueException {
        assertTrue(readSettings("countedBy", "work").weightByWork());
        assertTrue(readSettings("membershipMode", "on_request").listPolling());
        List<String> values = new ArrayList<>();
        for (String repeat : List.of("safe", "keyed", "unsafe")) {
            values.add(readSettings("classes.0.repeat", repeat).classes().get(0).idempotency() + "");
        }
        for (String group : List.of("all", "zone", "cell")) {
            values.add(readSettings("classes.0.group", group).classes().get(0).deduplicationScope() + "");
        }
        String fields = "concurrent,depth,load_share,mean_ms,tps,err_ps";
        assertEquals("[IDEMPOTENT, KEYED, NON_IDEMPOTENT, ALL, ZONE, CELL]", values.toString());
        assertEquals(
                "[IN_FLIGHT, QUEUED, UTILISATION, LATENCY_MS, SERVED_PER_S, ERRORS_PER_S]",
                readSettings("report.fields", fields).reportFields().toString());
    }

    @Test
    void endpointFieldsStayAsRecorded() throws MalformedEndpointListException {
        for (Map.Entry<String, String> state : Map.of("Ready", "READY", "Terminating", "DRAINING", "Gone", "GONE")
                .entrySet()) {
            assertEquals(
                    "7 false s-1 /127.0.0.1:80 b 4 " + state.getValue() + " 2.5 99",
                    extractValues(EndpointListJsonReader.read(parseList(state.getKey()))
                            .toString()));
        }
    }

    /** Returns the values of the components in a record's text, without the names of the components. */
    private static String extractValues(String text) {
        return Arrays.stream(text.split("[\\[\\], ]+"))
                .map(part -> part.substring(part.indexOf('=') + 1))
                .filter(part -> !part.matches("|[A-Z][a-z]\\w*"))
                .collect(Collectors.joining(" "));
    }

    @ParameterizedTest
    @ValueSource(strings = {"rev", "all", "targets"})
    void aListWithoutARequiredKeyIsRejected(String key) {
        JsonObject list = parseList("Ready");
        list.remove(key);
        assertThrows(MalformedEndpointListException.class, () -> EndpointListJsonReader.read(list));
    }

    @ParameterizedTest
    @ValueSource(strings = {"uid", "endpoint", "state"})
    void anEndpointWithoutARequiredKeyIsRejected(String key) {
        JsonObject list = parseList("Ready");
        list.getAsJsonArray("targets").get(0).getAsJsonObject().remove(key);
        assertThrows(MalformedEndpointListException.class, () -> EndpointListJsonReader.read(list));
    }
}
