package tansypass.cli;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/** Compares the views of the cluster that several members have. A member whose view is compared is called a viewer. */
final class ViewComparison {
    private static final String UNKNOWN_STATE = "unknown";

    /** For each viewer, the state and generation of every member in its view, by name. */
    private final Map<String, Map<String, String>> statesByViewer = new TreeMap<>();
    /** For each member, the shortest time in milliseconds for which any viewer's entry has not changed. */
    private final Map<String, Long> unchangedMs = new HashMap<>();

    private final List<String> unreachable = new ArrayList<>();

    /**
     * A member about which views differ.
     *
     * @param unchangedMs the time in milliseconds for which no viewer's entry of this member has changed; the views
     *     have differed for at least this time
     * @param viewersByState the viewers, by the state and generation that their entries have
     */
    record Disagreement(String member, long unchangedMs, Map<String, List<String>> viewersByState) {}

    /** Adds the view of a viewer. */
    void add(String viewer, List<MembershipSnapshot.Entry> entries) {
        Map<String, String> states = new LinkedHashMap<>();
        for (MembershipSnapshot.Entry entry : entries) {
            states.put(entry.name(), entry.state() + " " + entry.generation());
            unchangedMs.merge(entry.name(), entry.unchangedMs(), Math::min);
        }
        statesByViewer.put(viewer, states);
    }

    /** Adds a member whose view could not be fetched. */
    void addUnreachable(String viewer) {
        unreachable.add(viewer);
    }

    /** Returns the number of views that were added. */
    int viewCount() {
        return statesByViewer.size();
    }

    /** Returns the members whose views could not be fetched. */
    List<String> unreachable() {
        return List.copyOf(unreachable);
    }

    /** Returns the members about which views differ, sorted by name. */
    List<Disagreement> disagreements() {
        TreeSet<String> members = new TreeSet<>();
        statesByViewer.values().forEach(states -> members.addAll(states.keySet()));
        List<Disagreement> disagreements = new ArrayList<>();
        for (String member : members) {
            Map<String, List<String>> viewersByState = groupViewersByState(member);
            if (viewersByState.size() > 1) {
                disagreements.add(new Disagreement(member, unchangedMs.get(member), viewersByState));
            }
        }
        return disagreements;
    }

    private Map<String, List<String>> groupViewersByState(String member) {
        Map<String, List<String>> viewersByState = new TreeMap<>();
        statesByViewer.forEach((viewer, states) -> viewersByState
                .computeIfAbsent(states.getOrDefault(member, UNKNOWN_STATE), state -> new ArrayList<>())
                .add(viewer));
        return viewersByState;
    }
}
