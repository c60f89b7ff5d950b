package tansypass.cluster.membership;

import java.util.Optional;

/** Receives each change of a process's view, on the thread of its protocol. */
public interface MemberListener {

    /**
     * An entry was added or replaced.
     *
     * @param before the entry that it replaces; empty for a new member
     * @param after the entry as it is now
     */
    void onUpdate(Optional<Member> before, Member after);

    /** The entry of a member that failed or left long ago was removed. */
    void onReap(Member reaped);
}
