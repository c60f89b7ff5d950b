package tansypass.cluster.membership;

/**
 * The parameters of the membership protocol, the same for all processes of a cluster. Times are microseconds.
 *
 * @param periodUs the length of the protocol period (SWIM, section 4)
 * @param probesPerPeriod the number of members that a process probes in each period, one after the other. SWIM probes
 *     one; it would then take a second or more until any process probes a member that died.
 * @param probeTimeoutUs the time without an ack after which a member is probed indirectly
 * @param indirectProbes the number of helpers that are asked for an indirect probe (k in SWIM)
 * @param gossipIntervalUs the interval of gossip rounds, which send pending updates in addition to those that are
 *     piggybacked on probes. Without them, under packet loss, a suspicion might not reach the suspect, or its
 *     refutation not reach the other members, before the suspicion timeout.
 * @param gossipFanout the number of peers that each gossip round sends to
 * @param suspicionMultiplier the minimum suspicion timeout in units of {@code log10(n)} periods, where n is the number
 *     of members or 50, whichever is greater (alpha in Lifeguard)
 * @param maxSuspicionMultiplier the suspicion timeout while no other process confirms the suspicion, as a multiple of
 *     the minimum timeout (beta in Lifeguard)
 * @param retransmitMultiplier the number of times that each update is sent, in units of {@code log10(n + 1)} (lambda in
 *     SWIM)
 * @param pushPullIntervalUs the interval of push-pull syncs with a random peer
 * @param reconnectIntervalUs the interval of push-pull syncs with a failed member, or with a seed at whose address no
 *     member is present
 * @param reapDelayUs the time after which a member that failed or left is removed from the view
 * @param maxMembers the maximum number of entries in a view; updates about further members are dropped
 */
public record MembershipSettings(
        long periodUs,
        int probesPerPeriod,
        long probeTimeoutUs,
        int indirectProbes,
        long gossipIntervalUs,
        int gossipFanout,
        double suspicionMultiplier,
        double maxSuspicionMultiplier,
        double retransmitMultiplier,
        long pushPullIntervalUs,
        long reconnectIntervalUs,
        long reapDelayUs,
        int maxMembers) {

    /** The default settings, for a cluster on one machine or in one data center. */
    public static final MembershipSettings DEFAULT = new MembershipSettings(
            1_000_000, 3, 300_000, 3, 200_000, 3, 1.3, 6, 4, 30_000_000, 10_000_000, 600_000_000, 5_000);

    private static final int GOSSIP_ROUNDS_PER_PERIOD = 5;
    private static final int PERIODS_PER_PUSH_PULL = 30;
    private static final int PERIODS_PER_RECONNECT = 10;

    /**
     * Returns these settings with another period and probe timeout. The intervals of gossip, push-pull syncs and
     * reconnects are derived from the new period; the delay of reaping does not change.
     */
    public MembershipSettings withPeriod(long newPeriodUs, long newProbeTimeoutUs) {
        return new MembershipSettings(
                newPeriodUs,
                probesPerPeriod,
                newProbeTimeoutUs,
                indirectProbes,
                newPeriodUs / GOSSIP_ROUNDS_PER_PERIOD,
                gossipFanout,
                suspicionMultiplier,
                maxSuspicionMultiplier,
                retransmitMultiplier,
                PERIODS_PER_PUSH_PULL * newPeriodUs,
                PERIODS_PER_RECONNECT * newPeriodUs,
                reapDelayUs,
                maxMembers);
    }
}
