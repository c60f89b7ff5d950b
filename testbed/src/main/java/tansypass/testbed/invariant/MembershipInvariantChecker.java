package tansypass.testbed.invariant;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Checks the nodes' membership views. A node is identified by its number, and one process of a node by a key, which is
 * its generation and nonce. In virtual time the checker receives each change of a view; on real processes it receives
 * the views that are polled. Times are microseconds since the load began. Not thread-safe.
 */
public final class MembershipInvariantChecker {
    /** The number of protocol periods after the end of a fault in which a member may still be declared failed. */
    private static final int EXEMPT_PERIODS = 30;
    /**
     * The number of protocol periods in which views become equal after the last fault and the last start or exit of a
     * process.
     */
    private static final int AGREEMENT_PERIODS = 25;

    private final ViolationRecorder recorder;
    private final long periodUs;
    private final Map<Integer, String> liveProcessKeys = new HashMap<>();
    private final Map<Integer, Integer> activeFaultCounts = new HashMap<>();
    private final Map<Integer, Long> exemptUntilUs = new HashMap<>();
    private final Map<String, Line> lastLines = new HashMap<>();
    private final Map<String, Death> deathByProcessKey = new LinkedHashMap<>();

    /** The exit of a node's process without leaving the cluster, and the times at which other members detected it. */
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

        /** Returns the number of the node whose process exited. */
        public int node() {
            return node;
        }

        /** Returns the time from the exit until the first member detected it, or -1 if none did. */
        public long firstDetectionUs() {
            return firstDetectionUs;
        }

        /** Returns the time from the exit until the last member so far detected it, or -1 if none did. */
        public long lastDetectionUs() {
            return lastDetectionUs;
        }

        /** Returns the number of members that detected the exit. */
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

    /**
     * The entry of one member in a view. Violations and traces contain the text of this record, so the names of the
     * record and its components must not change.
     *
     * @param of the number of the member's node
     * @param life the key of the member's process
     * @param state the member's state, as the membership protocol names it
     * @param incarnation the incarnation number, which only the process itself raises
     */
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

    /** Returns whether views must be equal at the end of a run that waits for this time after its load. */
    public boolean isAgreementDue(long settleUs) {
        return settleUs >= AGREEMENT_PERIODS * periodUs;
    }

    /** Records that a fault of a node, or of a link of this node, begins or ends. */
    public void faultChanged(int node, boolean begins, long nowUs) {
        activeFaultCounts.merge(node, begins ? 1 : -1, Integer::sum);
        exemptUntilUs.put(node, nowUs + EXEMPT_PERIODS * periodUs);
    }

    /** Records that a node is up, and the key of its current process. */
    public void setLiveProcess(int node, String processKey) {
        liveProcessKeys.put(node, processKey);
    }

    /** Records that a node is not up. */
    public void clearLiveProcess(int node) {
        liveProcessKeys.remove(node);
    }

    /** Records that a node's process exited without leaving the cluster. */
    public void memberDied(int node, long nowUs) {
        if (liveProcessKeys.containsKey(node)) {
            deathByProcessKey.put(liveProcessKeys.get(node), new Death(node, nowUs));
        }
        clearLiveProcess(node);
    }

    /** Returns all exits without leaving the cluster, in order. */
    public List<Death> deaths() {
        return List.copyOf(deathByProcessKey.values());
    }

    /** Records that the view of one process of a node now contains this entry. */
    public void viewChanged(long nowUs, int viewer, String viewerProcessKey, Line line) {
        Line previousLine = lastLines.put(viewer + " " + viewerProcessKey + ">" + line.of() + " " + line.life(), line);
        if (previousLine != null
                && !previousLine.isPresent()
                && line.isPresent()
                && (previousLine.state().equals("left") || line.incarnation() <= previousLine.incarnation())) {
            recorder.recordViolation(
                    Invariant.MEMBER_RETURNED,
                    nowUs,
                    "in the view of node-" + viewer + " node-" + line.of() + " came back by old news: " + previousLine
                            + " to " + line);
        }
        boolean isNewState = previousLine == null || !previousLine.state().equals(line.state());
        if (isNewState && line.state().equals("failed") && deathByProcessKey.containsKey(line.life())) {
            deathByProcessKey.get(line.life()).recordDetection(nowUs);
        }
        if (isNewState
                && line.state().equals("failed")
                && line.life().equals(liveProcessKeys.get(line.of()))
                && !isExempt(nowUs, viewer)
                && !isExempt(nowUs, line.of())) {
            recorder.recordViolation(
                    Invariant.MEMBER_FAILED,
                    nowUs,
                    "node-" + viewer + " holds node-" + line.of()
                            + " to have failed, which is up and has had no fault");
        }
    }

    private boolean isExempt(long nowUs, int node) {
        return activeFaultCounts.getOrDefault(node, 0) > 0 || nowUs < exemptUntilUs.getOrDefault(node, 0L);
    }

    /**
     * Checks at the end of the run that exactly the members that are up are present in each view.
     *
     * @param presentByViewer for each node that is up, the nodes that are present in its view
     */
    public void checkAgreement(long nowUs, Map<Integer, Set<Integer>> presentByViewer) {
        Set<Integer> liveNodes = new TreeSet<>(presentByViewer.keySet());
        List<Integer> wrongViewers = presentByViewer.entrySet().stream()
                .filter(view -> !view.getValue().equals(liveNodes))
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
        if (!wrongViewers.isEmpty()) {
            recorder.recordViolation(
                    Invariant.MEMBERS_AGREE,
                    nowUs,
                    "up are " + liveNodes + ", but node-" + wrongViewers.get(0)
                            + " holds to be present " + new TreeSet<>(presentByViewer.get(wrongViewers.get(0)))
                            + "; wrong in "
                            + wrongViewers.size()
                            + " views of " + liveNodes.size());
        }
    }
}
