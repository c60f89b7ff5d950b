package tansypass.cluster.membership;

import java.util.Optional;

/** Receives each change of the view of a process, on the thread of the membership protocol. */
public interface MemberListener {

    /**
     * Called when an entry was added or replaced.
     *
     * @param before the replaced entry; empty if the member is new
     * @param after the entry that is now in the view
     */
    void onUpdate(Optional<Member> before, Member after);

    /** Called when the entry of a member that failed or left long ago was removed. */
    void onReap(Member reaped);
}
