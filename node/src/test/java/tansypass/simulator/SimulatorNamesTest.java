package tansypass.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import tansypass.balancer.AttemptResult;
import tansypass.platform.HandshakeSettings;
import tansypass.platform.InvalidValueException;

/** The names in the simulator's protocol. The simulator no longer understands a name that is changed here. */
class SimulatorNamesTest {
    private static final String HANDSHAKE_PATHS = """
            balancers
            classes.0.aimStretch
            classes.0.giveUpUs
            classes.0.group
            classes.0.importance
            classes.0.lateWorth
            classes.0.name
            classes.0.onTimeUs
            classes.0.repeat
            classes.0.stream
            classes.0.windowUs
            classes.count
            costs.crossZone
            costs.probe
            countedBy
            limits.attemptsCap
            limits.cancelling
            limits.connIdleUs
            limits.dialTimeoutUs
            limits.maxRetryAfterUs
            limits.parallelTries
            limits.probes
            limits.retryAfter
            membershipMode
            myZone
            overShareWorth
            quantumUs
            realms.0.name
            realms.0.quotaPerS
            realms.count
            report.fields
            rules.askWithinUs
            rules.coldFrom
            rules.coldUs
            rules.drainGraceUs
            rules.fallUs
            rules.overloadFactor
            zones
            """;

    private static final String ACTIONS = """
            route node=node-1 handle=00000000000000ff server=10.0.0.7:8003 untilUs=1240000
            abort_attempt node=node-1 handle=00000000000000ff seqNo=2
            decline node=node-1 handle=00000000000000ff
            decline node=node-1 handle=00000000000000ff retryInUs=600000
            lose node=node-1 handle=00000000000000ff
            remind node=node-1 dueAtUs=-7 label=w
            sound_out node=node-1 server=10.0.0.7:8003
            track node=node-1 want=1
            record node=node-1 noteText=two lines \u00e9
            fault node=node-1 noteText=broken
            next
            """;

    private static final String BOOT = "begin_batch timeUs=1000000\nboot node=n initSeed=5 classes.count=1"
            + " classes.0.name=view classes.0.giveUpUs=2 classes.0.onTimeUs=1 classes.0.repeat=safe\n";

    private static final String EVENTS = """
            roster setId=0 nodesList=3
            server server=a lifecycle=Running
            server server=b lifecycle=Stopping
            server server=c lifecycle=Deleted
            topology node=n setId=0 kind=stale_copy
            topology node=n setId=0 kind=whole
            topology node=n setId=0 kind=patch
            topology node=n kind=broken
            work_item node=n handle=00000000000000ff lane=view patienceLeftUs=1 realm=0
            first_byte node=n handle=00000000000000ff seqNo=0
            resolved node=n handle=00000000000000ff seqNo=0 rc=10
            client_gone node=n handle=00000000000000ff
            echo node=n server=a rc=10
            bell node=n
            memo node=n
            shutdown node=n
            eob
            """;

    /** A map that records each key that is looked up. */
    private static final class RecordingMap extends HashMap<String, String> {
        private static final long serialVersionUID = 1;
        private final transient Set<String> lookedUpKeys = new TreeSet<>();

        RecordingMap(Map<String, String> values) {
            super(values);
        }

        @Override
        public String get(Object key) {
            lookedUpKeys.add((String) key);
            return super.get(key);
        }

        @Override
        public boolean containsKey(Object key) {
            lookedUpKeys.add((String) key);
            return super.containsKey(key);
        }

        @Override
        public String getOrDefault(Object key, String defaultValue) {
            lookedUpKeys.add((String) key);
            return super.getOrDefault(key, defaultValue);
        }
    }

    @Test
    void handshakePathsStayAsRecorded() throws InvalidValueException {
        RecordingMap values = new RecordingMap(Map.ofEntries(
                Map.entry("classes.count", "1"),
                Map.entry("classes.0.name", "view"),
                Map.entry("classes.0.repeat", "keyed"),
                Map.entry("classes.0.group", "cell"),
                Map.entry("classes.0.onTimeUs", "1000"),
                Map.entry("classes.0.giveUpUs", "2000"),
                Map.entry("limits.retryAfter", "1"),
                Map.entry("realms.count", "1"),
                Map.entry("realms.0.name", "acme"),
                Map.entry("report.fields", "concurrent,depth,load_share,mean_ms,tps,err_ps")));
        HandshakeSettings.read(values);
        assertEquals(HANDSHAKE_PATHS, String.join("\n", values.lookedUpKeys) + "\n");
    }

    private static void run(String input) throws Exception {
        InputStream in = new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8));
        new SimulatorConnection(in, new ByteArrayOutputStream()).run();
    }

    @Test
    void eventNamesAndRequiredFieldsStayAsRecorded() throws Exception {
        run(BOOT + EVENTS);
    }

    /** Gives each optional field a malformed value, which causes an error only if the field is read. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "work_item node=n handle=00000000000000ff lane=view patienceLeftUs=1 F | realm workUs resent",
                "resolved node=n handle=00000000000000ff seqNo=0 rc=10 F | latencyUs ended metrics",
                "echo node=n server=a rc=10 F | latencyUs metrics",
                "roster setId=0 F | nodesList",
                "roster setId=0 nodesList=1;server server=a lifecycle=Running F | block scale sinceUs"
            })
    void optionalFieldsStayAsRecorded(String lines, String fields) {
        for (String field : fields.split(" ")) {
            String input = BOOT + lines.replace("F", field + "=x").replace(';', '\n') + "\neob\n";
            ProtocolException e = assertThrows(ProtocolException.class, () -> run(input), field);
            assertTrue(e.getMessage().contains(": field " + field + " is "), e.getMessage());
        }
    }

    @Test
    void zoneFieldOfAServerStaysAsRecorded() throws Exception {
        Map<String, String> settings = new HashMap<>(Map.of("zones", "y,z", "classes.count", "1"));
        settings.putAll(Map.of("classes.0.name", "view", "classes.0.repeat", "safe"));
        settings.putAll(Map.of("classes.0.onTimeUs", "1", "classes.0.giveUpUs", "2"));
        SimulatorResponse actions = new SimulatorResponse(new ByteArrayOutputStream());
        SimulatedInstance instance = new SimulatedInstance(HandshakeSettings.read(settings), 5, actions);
        String lines = "roster setId=0 nodesList=1\nserver server=a site=z lifecycle=Running\ntopology setId=0\n";
        EventLineReader reader = new EventLineReader(new ByteArrayInputStream(lines.getBytes(StandardCharsets.UTF_8)));
        EndpointListTable endpointLists = new EndpointListTable();
        assertTrue(reader.readNext());
        endpointLists.read(reader);
        assertTrue(reader.readNext());
        assertEquals(1, endpointLists.requireEntries(reader, instance).get(0).zone());
    }

    @ParameterizedTest
    @CsvSource({
        "10,OK",
        "20,ERROR",
        "30,OVERLOADED",
        "40,TIMEOUT",
        "50,CONNECT_FAILED",
        "60,RESET",
        "70,CANCELLED",
        "80,NOT_SENT"
    })
    void resultCodesStayAsRecorded(int code, AttemptResult result) throws Exception {
        EventLineReader event =
                new EventLineReader(new ByteArrayInputStream(("echo rc=" + code).getBytes(StandardCharsets.UTF_8)));
        assertTrue(event.readNext());
        assertEquals(result, ResultCode.read(event));
    }

    @Test
    void actionLinesStayAsRecorded() throws IOException {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        SimulatorResponse response = new SimulatorResponse(output);
        response.setNode("node-1");
        response.send(255, "10.0.0.7:8003", 1_240_000);
        response.cancel(255, 2);
        response.reject(255, 0);
        response.reject(255, 600_000);
        response.fail(255);
        response.scheduleTimer(-7);
        response.probe("10.0.0.7:8003");
        response.subscribe();
        response.log("two\nlines \u00e9");
        response.reportFault("broken");
        response.flush();
        assertEquals(ACTIONS, output.toString(StandardCharsets.UTF_8));
    }
}
