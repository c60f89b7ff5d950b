package tansypass.testbed.simulation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tansypass.cluster.membership.Member;
import tansypass.cluster.membership.MemberState;

/**
 * Records anomalies in the views of a cluster: members that were never started, and updates that are older than the
 * entry that they replace. Each entry is compared with the previous entry for the same member in the same view.
 */
final class ViewAnomalyRecorder implements ViewListener {
    private final SimulatedCluster cluster;
    private final List<String> anomalies;
    /** By view and member, the last entry. */
    private final Map<String, Member> lastEntries = new HashMap<>();

    private final Set<Long> startedNonces = new HashSet<>();

    /** Creates a recorder that adds a line to {@code anomalies} for each anomaly. */
    ViewAnomalyRecorder(SimulatedCluster cluster, List<String> anomalies) {
        this.cluster = cluster;
        this.anomalies = anomalies;
    }

    @Override
    public void onUpdate(int viewer, Member entry) {
        Member previous = lastEntries.put(keyOf(viewer, entry), entry);
        if (entry.identity().nonce() == cluster.swimProtocol(viewer).self().nonce()) {
            startedNonces.add(entry.identity().nonce());
        }
        if (!startedNonces.contains(entry.identity().nonce())) {
            anomalies.add("invented: " + entry);
        }
        if (previous != null) {
            compare(previous, entry);
        }
    }

    @Override
    public void onReap(int viewer, Member reaped) {
        lastEntries.remove(keyOf(viewer, reaped));
    }

    /** Returns the key of an entry. It contains the viewer's nonce because each process starts with an empty view. */
    private String keyOf(int viewer, Member entry) {
        long nonce = cluster.swimProtocol(viewer).self().nonce();
        return viewer + " " + nonce + ">" + entry.identity().name();
    }

    private void compare(Member previous, Member entry) {
        if (entry.identity().generation() < previous.identity().generation()) {
            anomalies.add("earlier generation: " + previous + " to " + entry);
        }
        boolean isSameProcess =
                entry.identity().generation() == previous.identity().generation()
                        && entry.identity().nonce() == previous.identity().nonce();
        if (isSameProcess && entry.incarnation() < previous.incarnation()) {
            anomalies.add("lower incarnation: " + previous + " to " + entry);
        }
        if (isSameProcess && entry.isPresent() && forbidsReturn(previous, entry)) {
            anomalies.add("returned by an outdated update: " + previous + " to " + entry);
        }
    }

    /** Returns whether the entry must not make the member present again after the previous entry of its process. */
    private static boolean forbidsReturn(Member previous, Member entry) {
        return previous.state() == MemberState.LEFT
                || (previous.state() == MemberState.FAILED && entry.incarnation() <= previous.incarnation());
    }
}
