package tansypass.testbed.process;

import java.util.List;
import java.util.Map;
import tansypass.testbed.invariant.RunStatistics.End;

/** Receives the progress of a run once a second, on the run's event loop. */
public interface Progress {
    /** Ignores all notifications. */
    Progress NONE = (second, endCounts, nodesReady, violationCount) -> {};

    /**
     * Called at the end of each second.
     *
     * @param second the number of the second since the load began; the first is 1
     * @param endCounts the number of requests that ended in this second, by the way in which they ended
     * @param nodesReady for each node, in the order of the numbers, whether it is ready for clients
     * @param violationCount the number of violations so far
     */
    void onSecond(long second, Map<End, Long> endCounts, List<Boolean> nodesReady, int violationCount);
}
