package tansypass.cluster.membership;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import tansypass.cluster.runtime.Scheduler;

/**
 * The state that the parts of {@link SwimProtocol} share: the identity and status of this process, the member table,
 * the clock and the random numbers. Confined to the thread of the {@link Scheduler}, like all parts.
 */
final class ProtocolState {
    /** The maximum number of random draws per requested peer; after that, a selection may have fewer peers. */
    private static final int DRAWS_PER_PEER = 8;

    private final MembershipSettings settings;
    private final Scheduler scheduler;
    private final UniformRandomProvider random;
    private final MembershipCounters counters = new MembershipCounters();
    private final LocalHealth health = new LocalHealth();
    private final MemberTable table;
    private Identity self;
    private long incarnation;
    private boolean draining;
    private boolean superseded;
    private boolean joined;
    private boolean stopped;
    private long lastSequenceNumber;

    ProtocolState(MembershipEnvironment environment) {
        settings = environment.settings();
        self = environment.self();
        scheduler = environment.scheduler();
        random = environment.random();
        table = new MemberTable(settings.maxMembers());
    }

    MembershipSettings settings() {
        return settings;
    }

    Scheduler scheduler() {
        return scheduler;
    }

    MembershipCounters counters() {
        return counters;
    }

    LocalHealth health() {
        return health;
    }

    MemberTable table() {
        return table;
    }

    /** Returns the current identity of this process, whose generation may have increased since the start. */
    Identity self() {
        return self;
    }

    /** Returns the entry of this process in the given state, under the current incarnation. */
    Member selfAs(MemberState state) {
        return new Member(self, state, incarnation, "", draining);
    }

    /** Returns the entry with which this process leaves. It is marked as draining. */
    Member selfAsLeft() {
        return new Member(self, MemberState.LEFT, incarnation, "", true);
    }

    long incarnation() {
        return incarnation;
    }

    void setIncarnation(long newIncarnation) {
        incarnation = newIncarnation;
    }

    /** Starts a later generation, with incarnation 0. This process is then no longer superseded. */
    void startGeneration(long generation) {
        self = self.withGeneration(generation);
        incarnation = 0;
        superseded = false;
    }

    boolean isDraining() {
        return draining;
    }

    void setDraining(boolean isDraining) {
        draining = isDraining;
    }

    /** Returns whether a live process of the same name and a later generation keeps this process out of the cluster. */
    boolean isSuperseded() {
        return superseded;
    }

    void setSuperseded() {
        superseded = true;
    }

    /** Returns whether this process has completed a push-pull sync with another, or had no seed to join through. */
    boolean isJoined() {
        return joined;
    }

    void setJoined(boolean isJoined) {
        joined = isJoined;
    }

    /** Returns whether this process has left or was stopped. A stopped process sends nothing. */
    boolean isStopped() {
        return stopped;
    }

    void setStopped() {
        stopped = true;
    }

    /** Returns a sequence number that no earlier probe of this process had. */
    long nextSequenceNumber() {
        return ++lastSequenceNumber;
    }

    /**
     * Returns a uniformly random delay from 1 to {@code maxUs} microseconds. Random delays keep processes from acting
     * at the same time.
     */
    long randomDelayUs(long maxUs) {
        return random.nextLong(maxUs) + 1;
    }

    /** Returns a uniformly random element of a list that is not empty. */
    <T> T randomElement(List<T> list) {
        return list.get(random.nextInt(list.size()));
    }

    /** Returns whether a name belongs to a present member other than this process. */
    boolean isPresentPeer(String name) {
        return !name.equals(self.name())
                && table.find(name).filter(Member::isPresent).isPresent();
    }

    /** Returns the names of all present members except this process. */
    List<String> presentPeerNames() {
        return table.present().stream()
                .map(member -> member.identity().name())
                .filter(name -> !name.equals(self.name()))
                .toList();
    }

    /**
     * Returns up to {@code count} distinct random members that are present, without this process and the member named
     * {@code excludedName}.
     */
    List<Member> randomPeers(int count, String excludedName) {
        List<Member> present = table.present();
        Map<String, Member> selected = new LinkedHashMap<>();
        // The number of draws is bounded because a small cluster may have fewer than the requested number of peers.
        int maxDraws = DRAWS_PER_PEER * count;
        for (int draws = 0; selected.size() < count && draws < maxDraws && !present.isEmpty(); draws++) {
            Member member = randomElement(present);
            String name = member.identity().name();
            if (!name.equals(self.name()) && !name.equals(excludedName)) {
                selected.put(name, member);
            }
        }
        return List.copyOf(selected.values());
    }
}
