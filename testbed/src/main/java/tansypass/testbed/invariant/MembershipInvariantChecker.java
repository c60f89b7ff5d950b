package tansypass.testbed.invariant;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Checks the nodes' membership views. Nodes are numbers; an incarnation identifies one process of a
 * node. In virtual time it receives each change of a view, on real processes what polls show. Times are
 * microseconds since the load began. Not thread-safe.
 */
public final class MembershipInvariantChecker {
    /** For how many periods after its end a fault excuses a member that is declared failed. */
    private static final int EXCUSED_PERIODS = 30;
    /** Views are equal so many periods after the last fault and the last start or exit of a process. */
    private static final int AGREE_PERIODS = 25;

    private final ViolationRecorder recorder;
    private final long periodUs;
    private final Map<Integer, String> liveIncarnations = new HashMap<>();
    private final Map<Integer, Integer> activeFaults = new HashMap<>();
    private final Map<Integer, Long> excusedUntilUs = new HashMap<>();
    private final Map<String, Line> lastLines = new HashMap<>();
    private final Map<String, Death> deaths = new LinkedHashMap<>();

    /** A death without notice, and when other members detected it. */
    public static final class Death {
        private final int node;
        private final long diedAtUs;
        private long firstDetectionUs = -1;
        private long lastDetectionUs = -1;
        private int observerCount;

        private Death(int node, long atUs) {
            this.node = node;
            this.diedAtUs = atUs;
        }

        /** Returns the node that died. */
        public int node() {
            return node;
        }

        /** Returns after how long the first member detected it, or -1 if none did. */
        public long firstDetectionUs() {
            return firstDetectionUs;
        }

        /** Returns after how long the last member so far detected it, or -1 if none did. */
        public long lastDetectionUs() {
            return lastDetectionUs;
        }

        /** Returns how many members detected it. */
        public int observerCount() {
            return observerCount;
        }

        private void recordDetection(long nowUs) {
            firstDetectionUs = firstDetectionUs < 0 ? nowUs - diedAtUs : firstDetectionUs;
            firstDetectionUs = Math.min(firstDetectionUs, nowUs - diedAtUs);
            lastDetectionUs = Math.max(lastDetectionUs, nowUs - diedAtUs);
            observerCount++;
        }
    }

    /** The entry of one member in a view; its text, with the names of the components, is part of traces. */
    public record Line(int of, String life, String state, long incarnation) {

        /** Returns whether the member counts as present. */
        public boolean isPresent() {
            return state.equals("alive") || state.equals("suspect");
        }
    }

    MembershipInvariantChecker(ViolationRecorder recorder, long periodUs) {
        this.recorder = recorder;
        this.periodUs = periodUs;
    }

    /** Returns whether a run that waits so long after its load waits long enough for views to be equal. */
    public boolean isAgreementDue(long settleUs) {
        return settleUs >= AGREE_PERIODS * periodUs;
    }

    /** A fault of a node or of a link of it begins, or one that began ends. */
    public void faultChanged(int node, boolean begins, long nowUs) {
        activeFaults.merge(node, begins ? 1 : -1, Integer::sum);
        excusedUntilUs.put(node, nowUs + EXCUSED_PERIODS * periodUs);
    }

    /** Sets the incarnation of a node that is up. */
    public void setLiveIncarnation(int node, String incarnation) {
        liveIncarnations.put(node, incarnation);
    }

    /** A node is not up. */
    public void clearLiveIncarnation(int node) {
        liveIncarnations.remove(node);
    }

    /** A node's process died without leaving the cluster. */
    public void memberDied(int node, long nowUs) {
        if (liveIncarnations.containsKey(node)) {
            deaths.put(liveIncarnations.get(node), new Death(node, nowUs));
        }
        clearLiveIncarnation(node);
    }

    /** Returns all deaths without notice, in order. */
    public List<Death> deaths() {
        return List.copyOf(deaths.values());
    }

    /** The view of one process of a node has this line now. */
    public void viewChanged(long nowUs, int viewer, String viewerIncarnation, Line line) {
        Line before = lastLines.put(viewer + " " + viewerIncarnation + ">" + line.of() + " " + line.life(), line);
        if (before != null
                && !before.isPresent()
                && line.isPresent()
                && (before.state().equals("left") || line.incarnation() <= before.incarnation())) {
            recorder.recordViolation(
                    Invariant.MEMBER_RETURNED,
                    nowUs,
                    "in the view of node-" + viewer + " node-" + line.of() + " came back by old news: " + before
                            + " to " + line);
        }
        boolean isNew = before == null || !before.state().equals(line.state());
        if (isNew && line.state().equals("failed") && deaths.containsKey(line.life())) {
            deaths.get(line.life()).recordDetection(nowUs);
        }
        if (isNew
                && line.state().equals("failed")
                && line.life().equals(liveIncarnations.get(line.of()))
                && !isExcused(nowUs, viewer)
                && !isExcused(nowUs, line.of())) {
            recorder.recordViolation(
                    Invariant.MEMBER_FAILED,
                    nowUs,
                    "node-" + viewer + " holds node-" + line.of()
                            + " to have failed, which is up and has had no fault");
        }
    }

    private boolean isExcused(long nowUs, int node) {
        return activeFaults.getOrDefault(node, 0) > 0 || nowUs < excusedUntilUs.getOrDefault(node, 0L);
    }

    /**
     * Checks at the end that each view has just those members present that are up.
     *
     * @param views by node that is up, the nodes that are present in its view
     */
    public void checkAgreement(long nowUs, Map<Integer, Set<Integer>> views) {
        Set<Integer> up = new TreeSet<>(views.keySet());
        List<Integer> wrong = views.entrySet().stream()
                .filter(view -> !view.getValue().equals(up))
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
        if (!wrong.isEmpty()) {
            recorder.recordViolation(
                    Invariant.MEMBERS_AGREE,
                    nowUs,
                    "up are " + up + ", but node-" + wrong.get(0)
                            + " holds to be present " + new TreeSet<>(views.get(wrong.get(0))) + "; wrong in "
                            + wrong.size()
                            + " views of " + up.size());
        }
    }
}
