package tansypass.cluster.membership;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import tansypass.cluster.runtime.Scheduler;

/**
 * The state that the parts of {@link SwimProtocol} share: this process's identity and status, its member table, its
 * clock and its random numbers. Confined to the thread of the {@link Scheduler}, as all parts are.
 */
final class ProtocolState {
    /** Random draws for each distinct peer wanted, after which a selection is returned short. */
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

    /** This process's identity; its generation may have grown since the start. */
    Identity self() {
        return self;
    }

    /** This process's own entry in a state, under its present incarnation. */
    Member selfAs(MemberState state) {
        return new Member(self, state, incarnation, "", draining);
    }

    /** This process's last entry: a process that leaves counts as draining from then on. */
    Member selfAsLeft() {
        return new Member(self, MemberState.LEFT, incarnation, "", true);
    }

    long incarnation() {
        return incarnation;
    }

    void setIncarnation(long next) {
        incarnation = next;
    }

    /** Adopts a later generation, which starts again at incarnation 0 and is superseded by nobody. */
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

    /** Whether a live process of the same name and a later generation keeps this one out of the cluster. */
    boolean isSuperseded() {
        return superseded;
    }

    void setSuperseded() {
        superseded = true;
    }

    /** Whether this process has completed a push-pull sync with another, or had no seed to join through. */
    boolean isJoined() {
        return joined;
    }

    void setJoined(boolean isJoined) {
        joined = isJoined;
    }

    /** Whether this process has left or was stopped; it sends nothing from then on. */
    boolean isStopped() {
        return stopped;
    }

    void setStopped() {
        stopped = true;
    }

    /** Returns a number that no earlier probe of this process had. */
    long nextSequenceNumber() {
        return ++lastSequenceNumber;
    }

    /** A uniformly random delay from 1 to {@code maxUs} microseconds, so that processes don't act in step. */
    long jittered(long maxUs) {
        return random.nextLong(maxUs) + 1;
    }

    /** One element of a list that is not empty, uniformly at random. */
    <T> T randomElement(List<T> list) {
        return list.get(random.nextInt(list.size()));
    }

    /** Whether a name belongs to a present member other than this process. */
    boolean isPresentPeer(String name) {
        return !name.equals(self.name())
                && table.find(name).filter(Member::isPresent).isPresent();
    }

    /** The names of all present members but this process. */
    List<String> presentPeerNames() {
        return table.present().stream()
                .map(member -> member.identity().name())
                .filter(name -> !name.equals(self.name()))
                .toList();
    }

    /** Up to {@code count} distinct present members at random, never this process nor {@code excludedName}. */
    List<Member> randomPeers(int count, String excludedName) {
        List<Member> present = table.present();
        Map<String, Member> selected = new LinkedHashMap<>();
        // Bounded: in a cluster of a few members there may be no further distinct peer to draw.
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
