package tansypass.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import tansypass.node.admin.NodeMetrics;
import tansypass.node.lifecycle.Lifecycle;
import tansypass.platform.EndpointListJsonReader;
import tansypass.platform.MalformedEndpointListException;

/** External names, recorded before any rename: a change here breaks operators or the platform. */
class ExternalNamesTest {
    private static final String ENTRY = "{\"uid\":\"s-1\",\"endpoint\":\"127.0.0.1:80\",\"az\":\"b\","
            + "\"pod_group\":4,\"state\":\"%s\",\"capacity_hint\":2.5,\"boot_ms\":99}";

    private static JsonObject list(String state) {
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

    @Test
    void endpointFieldsStayAsRecorded() throws MalformedEndpointListException {
        for (Map.Entry<String, String> state : Map.of("Ready", "READY", "Terminating", "DRAINING", "Gone", "GONE")
                .entrySet()) {
            assertEquals(
                    "7 false s-1 /127.0.0.1:80 b 4 " + state.getValue() + " 2.5 99",
                    values(EndpointListJsonReader.read(list(state.getKey())).toString()));
        }
    }

    /** Returns the component values in a record's text, without the component names. */
    private static String values(String text) {
        return Arrays.stream(text.split("[\\[\\], ]+"))
                .map(part -> part.substring(part.indexOf('=') + 1))
                .filter(part -> !part.matches("|[A-Z][a-z]\\w*"))
                .collect(Collectors.joining(" "));
    }

    @ParameterizedTest
    @ValueSource(strings = {"rev", "all", "targets"})
    void aListWithoutARequiredKeyIsRejected(String key) {
        JsonObject list = list("Ready");
        list.remove(key);
        assertThrows(MalformedEndpointListException.class, () -> EndpointListJsonReader.read(list));
    }

    @ParameterizedTest
    @ValueSource(strings = {"uid", "endpoint", "state"})
    void anEndpointWithoutARequiredKeyIsRejected(String key) {
        JsonObject list = list("Ready");
        list.getAsJsonArray("targets").get(0).getAsJsonObject().remove(key);
        assertThrows(MalformedEndpointListException.class, () -> EndpointListJsonReader.read(list));
    }
}
