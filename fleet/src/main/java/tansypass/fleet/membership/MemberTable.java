package tansypass.fleet.membership;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HexFormat;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/** What a process knows of the others and of itself: one line a name, of which the latest news counts. */
final class MemberTable {
    private static final int DIGEST_BYTES = 8;

    private final SortedMap<String, Member> members = new TreeMap<>();
    private final int most;
    private long version;

    MemberTable(int most) {
        this.most = most;
    }

    Member get(String name) {
        return members.get(name);
    }

    Collection<Member> all() {
        return List.copyOf(members.values());
    }

    /** Those to be counted on. */
    List<Member> present() {
        List<Member> present = new ArrayList<>();
        for (Member member : members.values()) {
            if (member.isPresent()) {
                present.add(member);
            }
        }
        return present;
    }

    /** Whether there is room for one more name. */
    boolean hasRoomFor(String name) {
        return members.containsKey(name) || members.size() < most;
    }

    /** Takes it in place of what was there. */
    void put(Member member) {
        members.put(member.identity().name(), member);
        version++;
    }

    void forget(String name) {
        members.remove(name);
        version++;
    }

    /** Grows with each change of this view; says nothing to others. */
    long version() {
        return version;
    }

    /** The same for two views that say the same of everybody present. */
    String digest() {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            for (Member member : members.values()) {
                if (member.isPresent()) {
                    digest.update((member.identity().name() + ' ' + member.identity().generation() + ' '
                            + Long.toHexString(member.identity().nonce()) + '\n')
                            .getBytes(StandardCharsets.UTF_8));
                }
            }
            return HexFormat.of().formatHex(digest.digest(), 0, DIGEST_BYTES);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java has SHA-256", e);
        }
    }
}
