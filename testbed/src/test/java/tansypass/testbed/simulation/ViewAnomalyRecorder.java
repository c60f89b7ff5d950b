package tansypass.testbed.simulation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tansypass.cluster.membership.Member;
import tansypass.cluster.membership.MemberState;

/**
 * Records what must not happen in the views of a cluster: invented members, and updates that go backwards. An entry is
 * compared with the last one of the same view.
 */
final class ViewAnomalyRecorder implements ViewListener {
    private final SimulatedCluster cluster;
    private final List<String> anomalies;
    /** By view and member. */
    private final Map<String, Member> last = new HashMap<>();

    private final Set<Long> startedNonces = new HashSet<>();

    /** Creates a recorder that adds a line to {@code anomalies} for each. */
    ViewAnomalyRecorder(SimulatedCluster cluster, List<String> anomalies) {
        this.cluster = cluster;
        this.anomalies = anomalies;
    }

    @Override
    public void onUpdate(int viewer, Member entry) {
        Member known = last.put(keyOf(viewer, entry), entry);
        if (entry.identity().nonce() == cluster.swimProtocol(viewer).self().nonce()) {
            startedNonces.add(entry.identity().nonce());
        }
        if (!startedNonces.contains(entry.identity().nonce())) {
            anomalies.add("invented: " + entry);
        }
        if (known != null) {
            compare(known, entry);
        }
    }

    @Override
    public void onReap(int viewer, Member reaped) {
        last.remove(keyOf(viewer, reaped));
    }

    /** A view starts empty with each process, so the key has the viewer's own nonce. */
    private String keyOf(int viewer, Member entry) {
        long nonce = cluster.swimProtocol(viewer).self().nonce();
        return viewer + " " + nonce + ">" + entry.identity().name();
    }

    private void compare(Member known, Member entry) {
        if (entry.identity().generation() < known.identity().generation()) {
            anomalies.add("earlier generation: " + known + " to " + entry);
        }
        boolean isSameProcess =
                entry.identity().generation() == known.identity().generation()
                        && entry.identity().nonce() == known.identity().nonce();
        if (isSameProcess && entry.incarnation() < known.incarnation()) {
            anomalies.add("lower incarnation: " + known + " to " + entry);
        }
        if (isSameProcess && entry.isPresent() && isGone(known, entry)) {
            anomalies.add("returned by an outdated update: " + known + " to " + entry);
        }
    }

    /** Returns whether no update of this incarnation may bring the known member back. */
    private static boolean isGone(Member known, Member entry) {
        return known.state() == MemberState.LEFT
                || (known.state() == MemberState.FAILED && entry.incarnation() <= known.incarnation());
    }
}
