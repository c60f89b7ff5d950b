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

/** The latest known entry of each name, this process's own included, up to a fixed number of names. */
final class MemberTable {
    private final SortedMap<String, Member> members = new TreeMap<>();
    private final Map<String, Long> changedAtUs = new HashMap<>();
    private final int maxMembers;
    private long version;
    private long lastPutUs;
    /** The exclusive or of a hash of each present member, so that their order does not matter. */
    private long presentHash;
    /** The present members; recomputed on request if it is outdated. */
    private List<Member> present = List.of();

    private boolean isPresentOutdated;

    MemberTable(int maxMembers) {
        this.maxMembers = maxMembers;
    }

    /** The entry of a name; empty if the name is unknown. */
    Optional<Member> find(String name) {
        return Optional.ofNullable(members.get(name));
    }

    /** The entry of a process, if it counts as present. */
    Optional<Member> findPresent(Identity process) {
        return find(process.name())
                .filter(Member::isPresent)
                .filter(member -> member.identity().isSameProcess(process));
    }

    /** Whether this very entry is in the table: it has not been replaced since, not even by an equal one. */
    @SuppressWarnings("ReferenceEquality")
    boolean isCurrent(Member entry) {
        return members.get(entry.identity().name()) == entry;
    }

    /** A copy of all entries, by name. */
    Collection<Member> all() {
        return List.copyOf(members.values());
    }

    /** The entries of all present members, by name. */
    List<Member> present() {
        if (isPresentOutdated) {
            isPresentOutdated = false;
            present = members.values().stream().filter(Member::isPresent).toList();
        }
        return present;
    }

    /** Whether there is no capacity for a further name: their number is bounded. */
    boolean isFull() {
        return members.size() >= maxMembers;
    }

    /** Puts an entry in place of an earlier one of the same name. */
    void put(Member member, long nowUs) {
        String name = member.identity().name();
        changedAtUs.put(name, nowUs);
        lastPutUs = nowUs;
        presentHash ^= hashOf(name);
        members.put(name, member);
        presentHash ^= hashOf(name);
        onChanged();
    }

    void remove(String name) {
        changedAtUs.remove(name);
        presentHash ^= hashOf(name);
        members.remove(name);
        onChanged();
    }

    private void onChanged() {
        version++;
        isPresentOutdated = true;
    }

    /** When each entry last changed, by name; microseconds of the clock that {@link #put} is given. */
    Map<String, Long> changedAtUs() {
        return Map.copyOf(changedAtUs);
    }

    /** When an entry was last put; 0 before the first. */
    long lastPutUs() {
        return lastPutUs;
    }

    int size() {
        return members.size();
    }

    /** Grows with each change of this table; not comparable with that of another process. */
    long version() {
        return version;
    }

    /** Equal for two tables with the same processes present, in whatever order they learned of them. */
    String digest() {
        return HexFormat.of().toHexDigits(presentHash);
    }

    /** The hash of a present member; 0 for any other. */
    private long hashOf(String name) {
        return find(name).filter(Member::isPresent).map(MemberTable::hash).orElse(0L);
    }

    private static long hash(Member member) {
        Identity identity = member.identity();
        return RandomStreams.seedOf(identity.nonce(), identity.name() + ' ' + identity.generation());
    }
}
