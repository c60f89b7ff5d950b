package tansypass.testbed.model;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import tansypass.testbed.invariant.InvariantChecker;
import tansypass.testbed.scenario.Scenario;

/** Checks at the end of a run that the membership views of its nodes are equal. */
public final class MembershipAgreement {
    private MembershipAgreement() {}

    /**
     * Checks the views if the nodes form a cluster and the settle time is long enough for the views to become equal.
     *
     * @param nowUs the time since the load began, in microseconds
     */
    public static void check(
            Scenario scenario, InvariantChecker checker, List<? extends NodeHandle> nodes, long nowUs) {
        checker.membershipChecker()
                .filter(members -> members.isAgreementDue(scenario.settleUs()))
                .ifPresent(members -> members.checkAgreement(nowUs, presentMembersByViewer(nodes)));
    }

    /** Returns for each node that is up the numbers of the nodes that are present in its view. */
    private static Map<Integer, Set<Integer>> presentMembersByViewer(List<? extends NodeHandle> nodes) {
        Map<Integer, Set<Integer>> present = new TreeMap<>();
        for (NodeHandle node : nodes) {
            if (node.isUp()) {
                present.put(node.number(), node.presentMembers());
            }
        }
        return present;
    }
}
