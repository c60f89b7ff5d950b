package tansypass.testbed.simulation;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import tansypass.cluster.membership.Identity;
import tansypass.cluster.membership.Member;
import tansypass.cluster.membership.MemberListener;
import tansypass.cluster.membership.Membership;
import tansypass.cluster.membership.MembershipEnvironment;
import tansypass.cluster.membership.MembershipSettings;
import tansypass.cluster.membership.MembershipView;
import tansypass.cluster.membership.MessageCodec;
import tansypass.cluster.membership.Role;
import tansypass.cluster.membership.SwimProtocol;
import tansypass.cluster.runtime.RandomStreams;
import tansypass.testbed.invariant.TraceDigest;
import tansypass.testbed.model.LinkMatrix;
import tansypass.testbed.scenario.Scenario.Fault;

/**
 * A cluster whose members run a membership protocol in virtual time, over a {@link SimulatedClusterNetwork}.
 * Members are numbered from 0. Equal seeds and equal calls give equal traces. Not thread-safe.
 */
public final class SimulatedCluster {
    /** The Unix time at which virtual time begins. */
    private static final long START_UNIX_MS = 1_800_000_000_000L;

    private static final String DEFAULT_DEPLOYMENT = "d";
    private static final int CONVERGENCE_CHECKS_PER_PERIOD = 10;

    private final long seed;
    private final MembershipSettings settings;
    private final List<String> zones;
    private final EventQueue queue;
    private final MembershipFactory factory;
    private final SimulatedClusterNetwork network;
    private final List<SimulatedMember> members = new ArrayList<>();
    private final TraceDigest trace = new TraceDigest();
    private ViewListener viewListener = (viewer, entry) -> {};

    /** Creates a cluster of SWIM members with its own event queue; no member is started yet. */
    public SimulatedCluster(long seed, MembershipSettings settings, int count, List<String> zones) {
        this(seed, settings, count, zones, new EventQueue(), MembershipFactory.SWIM);
    }

    /** Creates a cluster on the event queue of a run, with members from {@code factory}; no member is started yet. */
    SimulatedCluster(
            long seed,
            MembershipSettings settings,
            int count,
            List<String> zones,
            EventQueue queue,
            MembershipFactory factory) {
        this.seed = seed;
        this.settings = settings;
        this.zones = List.copyOf(zones);
        this.queue = queue;
        this.factory = factory;
        network = new SimulatedClusterNetwork(seed, queue);
        for (int i = 0; i < count; i++) {
            add("node-" + i);
        }
    }

    /** Adds a member that is not started yet, and returns its number. Two members may have the same name. */
    public int add(String name) {
        SimulatedMember member = new SimulatedMember(members.size(), name);
        members.add(member);
        network.add(member);
        return member.number();
    }

    /**
     * Starts a new process of a member.
     *
     * @param seeds the numbers of the members through which it joins
     * @param clockOffsetMs the lead of its wall clock over virtual time, in milliseconds; negative for a lag
     */
    public void start(int number, List<Integer> seeds, long clockOffsetMs, String deployment) {
        SimulatedMember member = members.get(number);
        member.startProcess(new SimulatedProcess(queue));
        UniformRandomProvider random = RandomStreams.of(seed, number + "#" + member.generation());
        Identity identity = new Identity(
                member.name(),
                START_UNIX_MS + queue.nowUs() / 1_000 + clockOffsetMs,
                random.nextLong(),
                zones.get(number % zones.size()),
                Role.NODE,
                member.address(),
                deployment,
                MessageCodec.VERSION,
                MessageCodec.VERSION);
        List<InetSocketAddress> seedAddresses = seeds.stream()
                .map(memberNumber -> members.get(memberNumber).address())
                .toList();
        MemberListener listener = new TracingListener(number);
        MembershipEnvironment environment = new MembershipEnvironment(
                settings, identity, seedAddresses, member.process(), random, network.endpointOf(member), listener);
        member.setMembership(factory.create(environment));
        member.membership().start();
    }

    /** Adds each change of one member's view to the trace, and forwards it to the view listener. */
    private final class TracingListener implements MemberListener {
        private final int viewer;

        TracingListener(int viewer) {
            this.viewer = viewer;
        }

        @Override
        public void onUpdate(Optional<Member> before, Member after) {
            traceChange(after.identity().name() + after.state() + after.incarnation());
            viewListener.onUpdate(viewer, after);
        }

        @Override
        public void onReap(Member reaped) {
            traceChange("forgotten");
            viewListener.onReap(viewer, reaped);
        }

        private void traceChange(String change) {
            trace.addLong(queue.nowUs());
            trace.addInt(viewer);
            trace.addText(change);
        }
    }

    /** Starts all members at the same time; they join through member 0. */
    public void startAll() {
        for (SimulatedMember member : members) {
            start(member.number(), List.of(0), 0, DEFAULT_DEPLOYMENT);
        }
    }

    /** Kills a member's process (SIGKILL). */
    public void kill(int number) {
        members.get(number).process().kill();
        members.get(number).membership().stop();
    }

    /** Makes a member leave the cluster gracefully, and ends its process. */
    public void leave(int number) {
        members.get(number).membership().leave();
        members.get(number).process().kill();
    }

    /** Pauses a member's process (SIGSTOP) or resumes it (SIGCONT). */
    public void setPaused(int number, boolean paused) {
        members.get(number).process().setPaused(paused);
    }

    /** Sets the filter that blocks links in addition to the faults, for example to simulate a partition. */
    public void setLinkFilter(LinkMatrix.Filter filter) {
        network.setLinkFilter(filter);
    }

    /** Begins or ends a fault of the link between two members. */
    void applyFault(int first, int second, Fault fault, boolean begins) {
        network.applyFault(first, second, fault, begins);
    }

    /** Sets the share of datagrams that are lost from now on, 0 to 1. */
    public void setLossRate(double lossRate) {
        network.setLossRate(lossRate);
    }

    /** Delivers a datagram that no member has sent, from an unknown address. */
    public void injectDatagram(int to, byte[] datagram) {
        SimulatedMember receiver = members.get(to);
        receiver.process().deliver(() -> {
            InetSocketAddress unknownSender = SimulatedMember.addressOf(members.size());
            receiver.membership().onDatagram(unknownSender, datagram);
        });
    }

    /** Sets the listener that receives the changes of all views. */
    public void setViewListener(ViewListener listener) {
        viewListener = listener;
    }

    /** Advances virtual time by {@code durationUs} microseconds. */
    public void run(long durationUs) {
        queue.runUntil(queue.nowUs() + durationUs);
    }

    /**
     * Runs until the cluster {@link #hasConverged}, or until the timeout.
     *
     * @return the elapsed time in microseconds, or -1 after the timeout
     */
    public long runUntilConverged(long timeoutUs) {
        long startUs = queue.nowUs();
        while (!hasConverged()) {
            if (queue.nowUs() - startUs >= timeoutUs) {
                return -1;
            }
            run(settings.periodUs() / CONVERGENCE_CHECKS_PER_PERIOD);
        }
        return queue.nowUs() - startUs;
    }

    /** Returns whether all members that are up have equal views, in which exactly these members are present. */
    public boolean hasConverged() {
        List<SimulatedMember> upMembers =
                members.stream().filter(SimulatedMember::isUp).toList();
        MembershipView firstView = upMembers.get(0).membership().view();
        return upMembers.stream()
                        .allMatch(member -> member.membership().view().digest().equals(firstView.digest()))
                && firstView.members().stream().filter(Member::isPresent).count() == upMembers.size();
    }

    /** Returns the present virtual time, in microseconds. */
    public long nowUs() {
        return queue.nowUs();
    }

    /** Returns the protocol instance of a member, which must run SWIM. */
    public SwimProtocol swimProtocol(int number) {
        return (SwimProtocol) membership(number);
    }

    /** Returns the protocol instance of a member. */
    public Membership membership(int number) {
        return members.get(number).membership();
    }

    /** Returns a member's view of the cluster. */
    public MembershipView view(int number) {
        return membership(number).view();
    }

    /** Returns whether a member's process is running and not paused. */
    public boolean isUp(int number) {
        return members.get(number).isUp();
    }

    /** Returns the number of datagrams that members have sent so far, including lost ones. */
    public long datagramsSent() {
        return network.datagramsSent();
    }

    /** Returns the number of bytes in the datagrams that members have sent so far, including lost ones. */
    public long datagramBytesSent() {
        return network.datagramBytesSent();
    }

    /** Returns the number of bytes that push-pull syncs have sent so far. */
    public long pushPullBytesSent() {
        return network.pushPullBytesSent();
    }

    /** Returns a hash of all changes of views so far. */
    public String traceHash() {
        return trace.hash();
    }
}
