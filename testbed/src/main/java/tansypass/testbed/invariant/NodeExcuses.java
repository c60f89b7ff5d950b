package tansypass.testbed.invariant;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The periods in which nodes are not held responsible for responses that their clients miss. */
final class NodeExcuses {
    private final Map<Integer, List<Excuse>> excusesByNode = new HashMap<>();

    /** Excuses a node from {@code nowUs} until the returned excuse is ended. */
    Excuse excuse(long nowUs, int node) {
        Excuse excuse = new Excuse(nowUs);
        excusesByNode.computeIfAbsent(node, n -> new ArrayList<>()).add(excuse);
        return excuse;
    }

    /** Returns whether the node was excused at any time while the request's client waited. */
    boolean isExcused(RequestRecord request) {
        long timeoutAtUs = InvariantChecker.responseTimeoutAtUs(request.deadlineUs);
        return excusesByNode.getOrDefault(request.node, List.of()).stream()
                .anyMatch(excuse -> excuse.overlaps(request.intendedUs, timeoutAtUs));
    }
}
