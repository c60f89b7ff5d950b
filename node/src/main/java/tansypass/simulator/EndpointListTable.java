package tansypass.simulator;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import tansypass.balancer.ServerEntry;
import tansypass.balancer.ServerState;

/**
 * The endpoint lists that the simulator has sent. Its protocol calls them rosters: each is sent once, and later events
 * refer to it by its number. Not thread-safe.
 */
final class EndpointListTable {
    private static final int MAX_LISTS = 16;
    private static final String NUMBER_FIELD = "setId";

    /**
     * A server of an endpoint list. Its zone is a name, because each instance numbers the zones of its own settings.
     */
    private record Entry(String id, String zone, int cell, ServerState state, double weight, long bootUs) {}

    private final List<List<Entry>> endpointLists = new ArrayList<>();

    /** Creates a table without endpoint lists. */
    EndpointListTable() {
        for (int i = 0; i < MAX_LISTS; i++) {
            endpointLists.add(null);
        }
    }

    /**
     * Reads an endpoint list whose first line is the current event. It replaces the list that has the same number.
     *
     * @throws ProtocolException if the endpoint list is malformed; the table is unchanged in that case
     */
    void read(EventLineReader reader) throws IOException, ProtocolException {
        int listNumber = readListNumber(reader);
        long count = reader.getLong("nodesList", 0);
        List<Entry> entries = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            reader.requireNext();
            if (!reader.isEvent("server")) {
                throw reader.newProtocolException("a roster's line must be server, not " + reader.eventName());
            }
            entries.add(readEntry(reader));
        }
        endpointLists.set(listNumber, entries);
    }

    private static Entry readEntry(EventLineReader reader) throws ProtocolException {
        String state = reader.requireText("lifecycle");
        return new Entry(
                reader.requireText("server"),
                reader.getText("site", ""),
                (int) reader.getLong("block", 0),
                parseState(reader, state),
                reader.getDouble("scale", 1),
                reader.getLong("sinceUs", 0));
    }

    private static ServerState parseState(EventLineReader reader, String state) throws ProtocolException {
        return switch (state) {
            case "Running" -> ServerState.READY;
            case "Stopping" -> ServerState.DRAINING;
            case "Deleted" -> ServerState.GONE;
            default -> throw reader.newProtocolException("lifecycle", "is unknown: " + state);
        };
    }

    /**
     * Returns the servers of the endpoint list that the current event refers to, with the zone indexes of an instance.
     *
     * @throws ProtocolException if no endpoint list with this number has been sent
     */
    List<ServerEntry> requireEntries(EventLineReader reader, SimulatedInstance instance) throws ProtocolException {
        List<Entry> endpointList = endpointLists.get(readListNumber(reader));
        if (endpointList == null) {
            throw reader.newProtocolException(NUMBER_FIELD, "names a roster that was never given");
        }
        List<ServerEntry> entries = new ArrayList<>(endpointList.size());
        for (Entry entry : endpointList) {
            int zone = instance.findZone(entry.zone);
            entries.add(new ServerEntry(entry.id, zone, entry.cell, entry.state, entry.weight, entry.bootUs));
        }
        return entries;
    }

    private static int readListNumber(EventLineReader reader) throws ProtocolException {
        long listNumber = reader.requireLong(NUMBER_FIELD);
        if (listNumber < 0 || listNumber >= MAX_LISTS) {
            throw reader.newProtocolException(NUMBER_FIELD, "is not from 0 to " + (MAX_LISTS - 1));
        }
        return (int) listNumber;
    }
}
