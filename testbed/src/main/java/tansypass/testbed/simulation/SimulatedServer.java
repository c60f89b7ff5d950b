package tansypass.testbed.simulation;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import tansypass.cluster.runtime.RandomStreams;
import tansypass.cluster.runtime.Scheduler;
import tansypass.testbed.model.ProcessNames;
import tansypass.testbed.model.WebServer;
import tansypass.testbed.scenario.Scenario;

/** A web server of a simulated run: its model, the state of its process, and the messages in flight to it. */
final class SimulatedServer {
    private final int number;
    private final WebServer model;
    private final Set<InFlightMessage> messages = new LinkedHashSet<>();
    private boolean isUp = true;

    SimulatedServer(int number, Scenario scenario, long seed, Scheduler scheduler) {
        this.number = number;
        String name = ProcessNames.server(number);
        model = new WebServer(name, scenario.servers(), scheduler, RandomStreams.of(seed, name));
    }

    int number() {
        return number;
    }

    WebServer model() {
        return model;
    }

    boolean isUp() {
        return isUp;
    }

    void add(InFlightMessage message) {
        messages.add(message);
    }

    void remove(InFlightMessage message) {
        messages.remove(message);
    }

    /** Kills the process, which loses its requests and resets its connections. */
    void stop() {
        isUp = false;
        model.stop();
        resetConnections();
    }

    /** Starts the process again. */
    void start() {
        isUp = true;
        model.start();
    }

    /** Resets every connection that has a message in flight. */
    void resetConnections() {
        new ArrayList<>(messages).forEach(InFlightMessage::reset);
    }
}
