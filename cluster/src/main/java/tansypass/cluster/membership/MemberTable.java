package tansypass.cluster.membership;

import java.util.Collection;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import tansypass.cluster.runtime.RandomStreams;

/** The current entry of each known member, including this process, by name. The number of entries is limited. */
final class MemberTable {
    private final SortedMap<String, Member> members = new TreeMap<>();
    private final Map<String, Long> changedAtUs = new HashMap<>();
    private final int maxMembers;
    private long version;
    private long lastPutUs;
    /** The XOR of the hashes of all present members, which does not depend on their order. */
    private long presentHash;
    /** The cached present members; {@link #present} computes them again if {@code isPresentOutdated}. */
    private List<Member> present = List.of();

    private boolean isPresentOutdated;

    MemberTable(int maxMembers) {
        this.maxMembers = maxMembers;
    }

    /** Returns the entry of a name; empty if the name is unknown. */
    Optional<Member> find(String name) {
        return Optional.ofNullable(members.get(name));
    }

    /** Returns the entry of a process if the process counts as present; otherwise empty. */
    Optional<Member> findPresent(Identity process) {
        return find(process.name())
                .filter(Member::isPresent)
                .filter(member -> member.identity().isSameProcess(process));
    }

    /**
     * Returns whether this entry object is still in the table: it has not been replaced, not even by an equal entry.
     */
    @SuppressWarnings("ReferenceEquality")
    boolean isCurrent(Member entry) {
        return members.get(entry.identity().name()) == entry;
    }

    /** Returns a copy of all entries, in the order of their names. */
    Collection<Member> all() {
        return List.copyOf(members.values());
    }

    /** Returns the entries of all present members, in the order of their names. */
    List<Member> present() {
        if (isPresentOutdated) {
            isPresentOutdated = false;
            present = members.values().stream().filter(Member::isPresent).toList();
        }
        return present;
    }

    /** Returns whether the table has the maximum number of entries. */
    boolean isFull() {
        return members.size() >= maxMembers;
    }

    /** Puts an entry into the table, which replaces an earlier entry of the same name. */
    void put(Member member, long nowUs) {
        String name = member.identity().name();
        changedAtUs.put(name, nowUs);
        lastPutUs = nowUs;
        presentHash ^= presentHashOf(name);
        members.put(name, member);
        presentHash ^= presentHashOf(name);
        onChanged();
    }

    void remove(String name) {
        changedAtUs.remove(name);
        presentHash ^= presentHashOf(name);
        members.remove(name);
        onChanged();
    }

    private void onChanged() {
        version++;
        isPresentOutdated = true;
    }

    /**
     * Returns the time of the last change of each entry, by name, in microseconds of the clock used for {@link #put}.
     */
    Map<String, Long> changedAtUs() {
        return Map.copyOf(changedAtUs);
    }

    /** Returns the time of the last call of {@link #put}, in microseconds; 0 before the first call. */
    long lastPutUs() {
        return lastPutUs;
    }

    int size() {
        return members.size();
    }

    /** Returns a number that grows with each change of this table. It is not comparable between processes. */
    long version() {
        return version;
    }

    /** Returns a hash that is equal for tables with the same processes present, in whatever order these were added. */
    String digest() {
        return HexFormat.of().toHexDigits(presentHash);
    }

    /** Returns the hash of the member of a name if it is present; otherwise 0. */
    private long presentHashOf(String name) {
        return find(name).filter(Member::isPresent).map(MemberTable::hash).orElse(0L);
    }

    private static long hash(Member member) {
        Identity identity = member.identity();
        return RandomStreams.seedOf(identity.nonce(), identity.name() + ' ' + identity.generation());
    }
}
