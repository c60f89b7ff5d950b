package tansypass.testbed.invariant;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The periods in which missing or late responses of nodes are not violations, by node. */
final class NodeExemptions {
    private final Map<Integer, List<Exemption>> exemptionsByNode = new HashMap<>();

    /** Begins an exemption of a node at {@code nowUs}; it lasts until the returned exemption is ended. */
    Exemption begin(long nowUs, int node) {
        Exemption exemption = new Exemption(nowUs);
        exemptionsByNode.computeIfAbsent(node, n -> new ArrayList<>()).add(exemption);
        return exemption;
    }

    /** Returns whether the node was exempt at any time while the request's client waited. */
    boolean isExempt(RequestRecord request) {
        long timeoutAtUs = InvariantChecker.responseTimeoutAtUs(request.deadlineUs);
        return exemptionsByNode.getOrDefault(request.node, List.of()).stream()
                .anyMatch(exemption -> exemption.overlaps(request.intendedUs, timeoutAtUs));
    }
}
