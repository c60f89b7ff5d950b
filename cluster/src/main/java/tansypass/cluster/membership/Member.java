package tansypass.cluster.membership;

/**
 * The state of a process as another process sees it: an entry of a view, or an update that is disseminated.
 *
 * @param identity the identity of the process
 * @param state the last known state of the process
 * @param incarnation the incarnation number within the generation; only the process itself raises it (SWIM, section
 *     4.2)
 * @param suspectedBy the name of the process that raised the suspicion if {@code state} is SUSPECT; otherwise empty
 * @param isDraining whether the process has announced that it does not serve clients now
 */
public record Member(Identity identity, MemberState state, long incarnation, String suspectedBy, boolean isDraining) {

    /** Creates an entry of a process that serves clients. */
    public Member(Identity identity, MemberState state, long incarnation, String suspectedBy) {
        this(identity, state, incarnation, suspectedBy, false);
    }

    /** Returns the entry of the same process in another state. */
    public Member withState(MemberState newState, long newIncarnation, String newSuspectedBy) {
        return new Member(identity, newState, newIncarnation, newSuspectedBy, isDraining);
    }

    /** Returns whether the process counts as present. A suspect still does (Lifeguard, section III). */
    public boolean isPresent() {
        return state == MemberState.ALIVE || state == MemberState.SUSPECT;
    }

    /** Returns whether this update replaces the current entry of the same name (precedence as in SWIM, section 4.2). */
    boolean overrides(Member current) {
        if (!identity.isSameProcess(current.identity)) {
            return identity.supersedes(current.identity);
        }
        if (current.state == MemberState.LEFT || state == MemberState.LEFT) {
            return current.state != MemberState.LEFT;
        }
        boolean isLater = incarnation > current.incarnation;
        boolean isNotEarlier = incarnation >= current.incarnation;
        return switch (state) {
            case ALIVE -> isLater;
            case SUSPECT -> current.state == MemberState.ALIVE ? isNotEarlier : isLater;
            default -> current.state == MemberState.FAILED ? isLater : isNotEarlier;
        };
    }
}
