package tansypass.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import tansypass.platform.HandshakeSettings;
import tansypass.platform.InvalidValueException;

/** The simulator's wire names, recorded before any rename: a change here breaks the simulator. */
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

    /** Remembers each key that is looked up. */
    private static final class RecordingMap extends HashMap<String, String> {
        private static final long serialVersionUID = 1;
        private final transient Set<String> lookedUp = new TreeSet<>();

        RecordingMap(Map<String, String> values) {
            super(values);
        }

        @Override
        public String get(Object key) {
            lookedUp.add((String) key);
            return super.get(key);
        }

        @Override
        public boolean containsKey(Object key) {
            lookedUp.add((String) key);
            return super.containsKey(key);
        }

        @Override
        public String getOrDefault(Object key, String otherwise) {
            lookedUp.add((String) key);
            return super.getOrDefault(key, otherwise);
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
        assertEquals(HANDSHAKE_PATHS, String.join("\n", values.lookedUp) + "\n");
    }

    @Test
    void actionLinesStayAsRecorded() throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        SimulatorResponse response = new SimulatorResponse(out);
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
        assertEquals(ACTIONS, out.toString(StandardCharsets.UTF_8));
    }
}
