package tansypass.testbed.baseline;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;
import tansypass.cluster.membership.Identity;
import tansypass.cluster.membership.MalformedMessageException;
import tansypass.cluster.membership.Member;
import tansypass.cluster.membership.MemberListener;
import tansypass.cluster.membership.MemberState;
import tansypass.cluster.membership.Membership;
import tansypass.cluster.membership.MembershipCounters;
import tansypass.cluster.membership.MembershipCounters.Name;
import tansypass.cluster.membership.MembershipEnvironment;
import tansypass.cluster.membership.MembershipSettings;
import tansypass.cluster.membership.MembershipView;
import tansypass.cluster.membership.Message;
import tansypass.cluster.membership.Message.Envelope;
import tansypass.cluster.membership.MessageCodec;
import tansypass.cluster.membership.Network;
import tansypass.cluster.runtime.Scheduler;

/**
 * All-to-all heartbeats, the baseline that the product's membership is compared to: each member sends every
 * other one a heartbeat a period, and a member without a heartbeat for some periods has failed. There are no
 * indirect probes and no gossip. Times are microseconds. All calls come from the scheduler's thread.
 */
public final class HeartbeatProtocol implements Membership {
    /** After so many periods without a heartbeat: about as soon as the product detects a failure among 50. */
    private static final double FAILURE_PERIODS = 4;

    private final MembershipSettings settings;
    private final Identity self;
    private final List<InetSocketAddress> seeds;
    private final Scheduler scheduler;
    private final UniformRandomProvider random;
    private final Network network;
    private final MemberListener listener;
    private final MessageCodec codec = new MessageCodec();
    private final MembershipCounters counters = new MembershipCounters();
    private final Map<String, Member> members = new TreeMap<>();
    private final Map<String, Long> lastHeartbeatUs = new HashMap<>();
    private long version;
    private boolean isStopped;

    /** Creates a member that has not started. */
    public HeartbeatProtocol(MembershipEnvironment environment) {
        settings = environment.settings();
        self = environment.self();
        seeds = environment.seeds();
        scheduler = environment.scheduler();
        random = environment.random();
        network = environment.network();
        listener = environment.listener();
        members.put(self.name(), new Member(self, MemberState.ALIVE, 0, ""));
    }

    @Override
    public void start() {
        scheduler.after(random.nextLong(settings.periodUs()) + 1, this::runPeriod);
        joinThroughSeed();
    }

    private void joinThroughSeed() {
        if (isStopped || seeds.isEmpty()) {
            return;
        }
        pushPull(seeds.get(random.nextInt(seeds.size())));
        scheduler.after(settings.reconnectIntervalUs(), this::joinThroughSeed);
    }

    private byte[] encodeView() {
        return codec.encodeView(envelope(List.copyOf(members.values())));
    }

    private Envelope envelope(List<Member> updates) {
        return new Envelope(self.deployment(), MessageCodec.VERSION, self.name(), self.generation(), updates);
    }

    private void pushPull(InetSocketAddress peer) {
        network.pushPull(peer, encodeView(), response -> response.ifPresent(this::onPushPull));
    }

    private void runPeriod() {
        if (isStopped) {
            return;
        }
        scheduler.after(settings.periodUs(), this::runPeriod);
        sendHeartbeats();
        detectFailures();
    }

    private void sendHeartbeats() {
        byte[] heartbeat = codec.encode(new Message.Gossip(envelope(List.of())));
        for (Member member : List.copyOf(members.values())) {
            // Failed members too: they may be alive behind a partition that has healed.
            if (!member.identity().name().equals(self.name()) && member.state() != MemberState.LEFT) {
                network.send(member.identity().address(), heartbeat);
            }
        }
    }

    private void detectFailures() {
        double timeoutUs = FAILURE_PERIODS * settings.periodUs();
        lastHeartbeatUs.forEach((name, atUs) -> {
            Member member = members.get(name);
            if (member.isPresent() && scheduler.nowUs() - atUs > timeoutUs) {
                counters.increment(Name.FAILED);
                put(member.withState(MemberState.FAILED, member.incarnation(), ""));
            }
        });
    }

    private void put(Member member) {
        Optional<Member> before =
                Optional.ofNullable(members.put(member.identity().name(), member));
        version++;
        listener.onUpdate(before, member);
    }

    @Override
    public void leave() {
        Member left = new Member(self, MemberState.LEFT, 0, "");
        byte[] notice = codec.encode(new Message.Gossip(envelope(List.of(left))));
        members.values().forEach(member -> network.send(member.identity().address(), notice));
        isStopped = true;
    }

    @Override
    public void stop() {
        isStopped = true;
    }

    @Override
    public Identity self() {
        return self;
    }

    @Override
    public MembershipView view() {
        StringBuilder present = new StringBuilder();
        members.values().stream()
                .filter(Member::isPresent)
                .forEach(m -> present.append(m.identity().name())
                        .append(m.identity().generation())
                        .append(' '));
        return new MembershipView(
                version,
                present.toString(),
                scheduler.nowUs(),
                true,
                scheduler.nowUs(),
                List.copyOf(members.values()),
                Map.of());
    }

    @Override
    public MembershipCounters counters() {
        return counters;
    }

    @Override
    public void onDatagram(InetSocketAddress from, byte[] datagram) {
        Envelope envelope;
        try {
            envelope = codec.decode(datagram).envelope();
        } catch (MalformedMessageException e) {
            counters.increment(Name.DROPPED_MALFORMED);
            return;
        }
        if (isStopped) {
            return;
        }
        Member known = members.get(envelope.senderName());
        if (known == null || known.identity().generation() < envelope.senderGeneration()) {
            pushPull(from);
        } else if (!envelope.updates().isEmpty()) {
            put(envelope.updates().get(0));
        } else {
            lastHeartbeatUs.put(envelope.senderName(), scheduler.nowUs());
            if (known.state() == MemberState.FAILED) {
                put(known.withState(MemberState.ALIVE, known.incarnation(), ""));
            }
        }
    }

    @Override
    public Optional<byte[]> onPushPull(byte[] body) {
        Envelope envelope;
        try {
            envelope = codec.decodeView(body, settings.maxMembers());
        } catch (MalformedMessageException e) {
            counters.increment(Name.DROPPED_MALFORMED);
            return Optional.empty();
        }
        if (isStopped) {
            return Optional.empty();
        }
        envelope.updates().forEach(this::merge);
        return Optional.of(encodeView());
    }

    /** Adds a member that is unknown here, or replaces its earlier process. */
    private void merge(Member entry) {
        String name = entry.identity().name();
        Member known = members.get(name);
        boolean isNew = known == null
                || known.identity().generation() < entry.identity().generation();
        if (isNew && !name.equals(self.name())) {
            lastHeartbeatUs.put(name, scheduler.nowUs());
            put(entry.withState(MemberState.ALIVE, entry.incarnation(), ""));
        }
    }
}
