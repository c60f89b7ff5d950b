package tansypass.testbed.process;

import java.util.List;
import java.util.Map;
import tansypass.testbed.invariant.RunStatistics.End;

/** Is notified each second of a run, on its event loop. */
public interface Progress {
    /** Ignores all notifications. */
    Progress NONE = (second, ends, nodes, violations) -> {};

    /**
     * A second is over.
     *
     * @param second of the load, the first is 1
     * @param ends of the requests that ended in it
     * @param nodes in their order, whether each takes clients
     * @param violations found so far
     */
    void onSecond(long second, Map<End, Long> ends, List<Boolean> nodes, int violations);
}
