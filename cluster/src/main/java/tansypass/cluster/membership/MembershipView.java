package tansypass.cluster.membership;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * An immutable snapshot of the cluster as one process sees it. The views of two processes may differ for a limited
 * time, which docs/membership.md specifies. Therefore an action that only one process may take must not rely on a view
 * alone. Times are microseconds of the monotonic clock of the process.
 *
 * @param version a number that grows with each change of the view of this process
 * @param digest a hash of the present members; equal in views in which the same processes are present
 * @param takenAtUs the time of the snapshot
 * @param joined whether the process has completed a push-pull sync with another process, or has no seed to join through
 * @param lastAgreedUs the last time at which a datagram from a peer had the same digest as the view of this process;
 *     the time of the start if there was none
 * @param members all entries in the order of their names, including that of the process itself
 * @param changedAtUs the time at which each entry last changed in the view of this process, by member name
 */
public record MembershipView(
        long version,
        String digest,
        long takenAtUs,
        boolean joined,
        long lastAgreedUs,
        List<Member> members,
        Map<String, Long> changedAtUs) {

    /** Returns the number of members of a role that are present and serve clients. */
    public int servingCount(Role role) {
        return (int) members.stream()
                .filter(member -> member.isPresent() && isNotDraining(member, role))
                .count();
    }

    /**
     * Returns the number of members of a role that failed while they served clients and are not yet reaped. They may
     * still be serving clients.
     */
    public int failedWhileServingCount(Role role) {
        return (int) members.stream()
                .filter(member -> member.state() == MemberState.FAILED && isNotDraining(member, role))
                .count();
    }

    private static boolean isNotDraining(Member member, Role role) {
        return !member.isDraining() && member.identity().role() == role;
    }

    /** Returns the number of members of a role that are present, by zone. */
    public Map<String, Integer> presentByZone(Role role) {
        Map<String, Integer> zones = new TreeMap<>();
        for (Member member : members) {
            if (member.isPresent() && member.identity().role() == role) {
                zones.merge(member.identity().zone(), 1, Integer::sum);
            }
        }
        return zones;
    }
}
