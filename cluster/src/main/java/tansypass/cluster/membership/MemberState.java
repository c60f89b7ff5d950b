package tansypass.cluster.membership;

/** The state of a member in a view. The names of the constants are part of the wire format and of log lines. */
public enum MemberState {
    /** The member responds to probes, or has refuted a suspicion. */
    ALIVE,
    /** The member did not respond to a probe, and can refute the suspicion until a timeout (SWIM, section 4.2). */
    SUSPECT,
    /** The member did not refute the suspicion before the timeout. */
    FAILED,
    /** The member has announced that it leaves. This state is final for the generation of the member. */
    LEFT
}
