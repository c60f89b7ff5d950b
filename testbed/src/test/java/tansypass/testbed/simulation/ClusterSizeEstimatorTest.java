package tansypass.testbed.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import tansypass.cluster.membership.ClusterSizeEstimator;
import tansypass.cluster.membership.Identity;
import tansypass.cluster.membership.Member;
import tansypass.cluster.membership.MemberState;
import tansypass.cluster.membership.MembershipView;
import tansypass.cluster.membership.Role;

/** Tests which changes of the membership view a node is notified of as changes of the cluster size. */
class ClusterSizeEstimatorTest {
    private final List<String> notifications = new ArrayList<>();
    private final ClusterSizeEstimator estimator =
            new ClusterSizeEstimator((present, lost) -> notifications.add(present + " " + lost));

    private static Member member(String name, MemberState state, boolean draining) {
        return new Member(
                new Identity(name, 1, 1, "a", Role.NODE, new InetSocketAddress("127.0.0.1", 1), "d", 1, 1),
                state,
                0,
                "",
                draining);
    }

    private void update(boolean joined, long ageUs, Member... members) {
        estimator.update(new MembershipView(1, "x", 0, joined, 0, List.of(members), Map.of()), ageUs);
    }

    @Test
    void notifiesOfChangesInRecentViewsOnly() {
        Member a = member("a", MemberState.ALIVE, false);
        Member b = member("b", MemberState.SUSPECT, false);
        update(false, 0, a);
        update(true, 0, a, b);
        update(true, 0, a, b);
        update(true, 0, a, member("b", MemberState.FAILED, false));
        update(true, 0, a, member("b", MemberState.ALIVE, true));
        update(true, 0, a, member("b", MemberState.FAILED, true));
        update(true, ClusterSizeEstimator.MAX_VIEW_AGE_US + 1, a, b);
        update(true, ClusterSizeEstimator.MAX_VIEW_AGE_US, a, b);
        assertEquals(List.of("2 0", "1 1", "1 0", "0 0", "2 0"), notifications);
    }
}
