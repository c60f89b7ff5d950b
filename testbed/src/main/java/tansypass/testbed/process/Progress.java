package tansypass.testbed.process;

import java.util.List;
import java.util.Map;
import tansypass.testbed.invariant.RunStatistics.End;

/** Receives the progress of a run once a second, on the run's event loop. */
public interface Progress {
    /** Ignores all notifications. */
    Progress NONE = (second, ends, nodes, violations) -> {};

    /**
     * Called at the end of each second.
     *
     * @param second the number of the second since the load began; the first is 1
     * @param ends how the requests that ended in this second ended
     * @param nodes for each node, by number, whether it is ready for clients
     * @param violations the number of violations so far
     */
    void onSecond(long second, Map<End, Long> ends, List<Boolean> nodes, int violations);
}
