package tansypass.testbed.simulation;

import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import tansypass.cluster.membership.Identity;
import tansypass.cluster.membership.Member;
import tansypass.cluster.membership.MembershipSettings;
import tansypass.cluster.membership.MembershipView;
import tansypass.testbed.invariant.MembershipInvariantChecker;
import tansypass.testbed.model.ProcessNames;
import tansypass.testbed.scenario.Scenario;
import tansypass.testbed.scenario.Scenario.Fault;

/** The cluster that the nodes of a simulated run form; notifies the nodes and the checker of changes of their views. */
final class SimulatedMembership {
    private static final String DEPLOYMENT = "rig";

    private final SimulationContext context;
    private final SimulatedCluster cluster;
    private final MembershipInvariantChecker checker;

    SimulatedMembership(SimulationContext context, MembershipInvariantChecker checker) {
        this.context = context;
        this.checker = checker;
        Scenario scenario = context.scenario;
        MembershipSettings settings = MembershipSettings.DEFAULT.withPeriod(
                scenario.cluster().periodUs(), scenario.cluster().probeTimeoutUs());
        cluster = new SimulatedCluster(
                context.seed,
                context.parts.membershipSettings(settings),
                scenario.nodes().count(),
                scenario.nodes().zones(),
                context.queue,
                MembershipFactory.SWIM);
        cluster.setViewListener(new ViewListener() {
            @Override
            public void onUpdate(int viewer, Member entry) {
                context.nodes.get(viewer).onMembershipChange(view(viewer));
                checker.viewChanged(context.nowUs(), viewer, liveProcessKey(viewer), toLine(entry));
            }

            @Override
            public void onReap(int viewer, Member reaped) {
                context.nodes.get(viewer).onMembershipChange(view(viewer));
            }
        });
    }

    /** Returns the key of a node's current process, as {@link MembershipInvariantChecker} defines it. */
    private String liveProcessKey(int number) {
        return toProcessKey(cluster.swimProtocol(number).self());
    }

    private static String toProcessKey(Identity identity) {
        return identity.generation() + "." + identity.nonce();
    }

    /** Converts an entry of a view to the form that the checker takes. */
    private static MembershipInvariantChecker.Line toLine(Member member) {
        return new MembershipInvariantChecker.Line(
                ProcessNames.numberOf(member.identity().name()),
                toProcessKey(member.identity()),
                member.state().name().toLowerCase(Locale.ROOT),
                member.incarnation());
    }

    MembershipView view(int number) {
        return cluster.view(number);
    }

    /** Starts a member, which joins through the first nodes of the scenario. */
    void start(int number) {
        int seedCount = Math.min(Scenario.SEED_MEMBERS, context.nodes.size());
        cluster.start(number, IntStream.range(0, seedCount).boxed().toList(), 0, DEPLOYMENT);
        checker.setLiveProcess(number, liveProcessKey(number));
    }

    void setPaused(int number, boolean paused) {
        cluster.setPaused(number, paused);
    }

    void leave(int number) {
        cluster.leave(number);
        checker.clearLiveProcess(number);
    }

    void kill(int number) {
        cluster.kill(number);
        checker.memberDied(number, context.nowUs());
    }

    void applyFault(int first, int second, Fault fault, boolean begins) {
        cluster.applyFault(first, second, fault, begins);
    }

    /** Returns the numbers of the nodes that are present in a node's view. */
    Set<Integer> presentMembers(int viewer) {
        return view(viewer).members().stream()
                .filter(Member::isPresent)
                .map(member -> toLine(member).of())
                .collect(Collectors.toSet());
    }
}
