package tansypass.simulator;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import tansypass.balancer.ServerEntry;
import tansypass.balancer.ServerState;

/**
 * The endpoint lists of the simulator, called rosters on its wire, which are sent once and then referred to by number.
 * Not thread-safe.
 */
final class RosterTable {
    private static final int MAX_ROSTERS = 16;
    private static final String NUMBER_FIELD = "setId";

    /** A server of a roster; its zone is a name, since each instance numbers zones by its own settings. */
    private record Entry(String id, String zone, int cell, ServerState state, double weight, long bootUs) {}

    private final List<List<Entry>> rosters = new ArrayList<>();

    /** Creates a table without rosters. */
    RosterTable() {
        for (int i = 0; i < MAX_ROSTERS; i++) {
            rosters.add(null);
        }
    }

    /**
     * Reads a roster, of which the current event is the first line, and replaces the one of the same number.
     *
     * @throws ProtocolException if it is malformed; nothing is replaced then
     */
    void read(EventLineReader line) throws IOException, ProtocolException {
        int number = parseNumber(line);
        long count = line.getLong("nodesList", 0);
        List<Entry> entries = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            line.requireNext();
            if (!line.isEvent("server")) {
                throw line.malformed("a roster's line must be server, not " + line.name());
            }
            entries.add(parseEntry(line));
        }
        rosters.set(number, entries);
    }

    private static Entry parseEntry(EventLineReader line) throws ProtocolException {
        String state = line.requireText("lifecycle");
        return new Entry(
                line.requireText("server"),
                line.getText("site", ""),
                (int) line.getLong("block", 0),
                parseState(line, state),
                line.getDouble("scale", 1),
                line.getLong("sinceUs", 0));
    }

    private static ServerState parseState(EventLineReader line, String state) throws ProtocolException {
        return switch (state) {
            case "Running" -> ServerState.READY;
            case "Stopping" -> ServerState.DRAINING;
            case "Deleted" -> ServerState.GONE;
            default -> throw line.malformed("lifecycle", "is unknown: " + state);
        };
    }

    /**
     * Returns the servers of the roster that the current event names, with the zone numbers of an instance.
     *
     * @throws ProtocolException if there is no such roster
     */
    List<ServerEntry> findEntries(EventLineReader line, SimulatedInstance instance) throws ProtocolException {
        List<Entry> roster = rosters.get(parseNumber(line));
        if (roster == null) {
            throw line.malformed(NUMBER_FIELD, "names a roster that was never given");
        }
        List<ServerEntry> entries = new ArrayList<>(roster.size());
        for (Entry entry : roster) {
            int zone = instance.findZone(entry.zone);
            entries.add(new ServerEntry(entry.id, zone, entry.cell, entry.state, entry.weight, entry.bootUs));
        }
        return entries;
    }

    private static int parseNumber(EventLineReader line) throws ProtocolException {
        long number = line.requireLong(NUMBER_FIELD);
        if (number < 0 || number >= MAX_ROSTERS) {
            throw line.malformed(NUMBER_FIELD, "is not from 0 to " + (MAX_ROSTERS - 1));
        }
        return (int) number;
    }
}
