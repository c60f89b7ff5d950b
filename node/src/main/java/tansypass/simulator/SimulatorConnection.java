package tansypass.simulator;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.HashMap;
import java.util.Map;
import tansypass.balancer.BalancerSettings;
import tansypass.platform.HandshakeSettings;
import tansypass.platform.InvalidValueException;

/**
 * Connects the simulator to balancer instances: reads batches of events, calls the instances, and writes their actions
 * back. It takes no decisions of its own. Single-threaded.
 */
final class SimulatorConnection {
    private final EventLineReader line;
    private final SimulatorResponse response;
    private final RosterTable rosters = new RosterTable();
    private final EventTranslator translator;
    private final Map<String, SimulatedInstance> instances = new HashMap<>();
    private long nowUs;

    SimulatorConnection(InputStream in, OutputStream out) {
        line = new EventLineReader(in);
        response = new SimulatorResponse(out);
        translator = new EventTranslator(line, rosters);
    }

    /**
     * Processes batches until the input ends.
     *
     * @throws ProtocolException if the input is malformed; the current batch has no response then
     */
    void run() throws IOException, ProtocolException {
        while (line.readNext()) {
            if (line.name().isEmpty()) {
                continue;
            }
            if (!line.isEvent("begin_batch")) {
                throw line.malformed("a batch must open with begin_batch, not " + line.name());
            }
            nowUs = line.requireLong("timeUs");
            line.requireNext();
            while (!line.isEvent("eob")) {
                processEvent();
                line.requireNext();
            }
            response.flush();
        }
    }

    private void processEvent() throws IOException, ProtocolException {
        if (line.isEvent("roster")) {
            rosters.read(line);
            return;
        }
        String node = line.requireText("node");
        response.setNode(node);
        if (line.isEvent("boot")) {
            startInstance(node);
            return;
        }
        SimulatedInstance instance = instances.get(node);
        if (instance == null) {
            throw line.malformed("node", "names an instance that was never started: " + node);
        }
        if (line.isEvent("shutdown")) {
            instances.remove(node);
            return;
        }
        Runnable call = translator.translate(instance, nowUs);
        try {
            call.run();
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            response.reportFault(e + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }

    private void startInstance(String node) throws ProtocolException {
        long seed = line.requireLong("initSeed");
        Map<String, String> values = new HashMap<>();
        for (int i = 0; i < line.fieldCount(); i++) {
            values.put(line.key(i), line.value(i));
        }
        instances.put(node, new SimulatedInstance(readSettings(values), seed, response));
    }

    private BalancerSettings readSettings(Map<String, String> values) throws ProtocolException {
        try {
            return HandshakeSettings.read(values);
        } catch (InvalidValueException e) {
            throw line.malformed("boot: field " + e.getMessage());
        }
    }
}
