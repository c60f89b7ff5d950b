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
 * Connects the simulator to the instances of the load balancer: reads batches of events, passes each event to its
 * instance, and writes the actions of the instances back. It makes no decisions itself. Single-threaded.
 */
final class SimulatorConnection {
    private final EventLineReader reader;
    private final SimulatorResponse response;
    private final EndpointListTable endpointLists = new EndpointListTable();
    private final EventTranslator translator;
    private final Map<String, SimulatedInstance> instances = new HashMap<>();
    private long nowUs;

    SimulatorConnection(InputStream in, OutputStream out) {
        reader = new EventLineReader(in);
        response = new SimulatorResponse(out);
        translator = new EventTranslator(reader, endpointLists);
    }

    /**
     * Processes batches until the input ends.
     *
     * @throws ProtocolException if the input is malformed; the current batch then gets no response
     */
    void run() throws IOException, ProtocolException {
        while (reader.readNext()) {
            if (reader.eventName().isEmpty()) {
                continue;
            }
            if (!reader.isEvent("begin_batch")) {
                throw reader.newProtocolException("a batch must open with begin_batch, not " + reader.eventName());
            }
            nowUs = reader.requireLong("timeUs");
            reader.requireNext();
            while (!reader.isEvent("eob")) {
                processEvent();
                reader.requireNext();
            }
            response.flush();
        }
    }

    private void processEvent() throws IOException, ProtocolException {
        if (reader.isEvent("roster")) {
            endpointLists.read(reader);
            return;
        }
        String node = reader.requireText("node");
        response.setNode(node);
        if (reader.isEvent("boot")) {
            startInstance(node);
            return;
        }
        SimulatedInstance instance = instances.get(node);
        if (instance == null) {
            throw reader.newProtocolException("node", "names an instance that was never started: " + node);
        }
        if (reader.isEvent("shutdown")) {
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
        long seed = reader.requireLong("initSeed");
        Map<String, String> values = new HashMap<>();
        for (int i = 0; i < reader.fieldCount(); i++) {
            values.put(reader.fieldKey(i), reader.fieldValue(i));
        }
        instances.put(node, new SimulatedInstance(readSettings(values), seed, response));
    }

    private BalancerSettings readSettings(Map<String, String> values) throws ProtocolException {
        try {
            return HandshakeSettings.read(values);
        } catch (InvalidValueException e) {
            throw reader.newProtocolException("boot: field " + e.getMessage());
        }
    }
}
