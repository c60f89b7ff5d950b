package tansypass.testbed.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import tansypass.cluster.membership.Identity;
import tansypass.cluster.membership.Member;
import tansypass.cluster.membership.MemberListener;
import tansypass.cluster.membership.MemberState;
import tansypass.cluster.membership.MembershipEnvironment;
import tansypass.cluster.membership.MembershipSettings;
import tansypass.cluster.membership.Message;
import tansypass.cluster.membership.MessageCodec;
import tansypass.cluster.membership.Network;
import tansypass.cluster.membership.Role;
import tansypass.cluster.membership.SwimProtocol;
import tansypass.cluster.runtime.Scheduler;

/**
 * Compares the behaviour of {@link SwimProtocol} with recorded hashes, to detect any unintended change. A hash covers
 * every datagram and push-pull body byte for byte, every timer that is set, fires or is cancelled, and every change of
 * a view, in order and with their virtual times. At the end it covers all counters and view pages.
 */
class SwimTraceTest {
    private static final long SECOND_US = 1_000_000;
    /** The default settings, but with a member limit and a reap delay small enough for a trial to reach them. */
    private static final MembershipSettings SETTINGS = new MembershipSettings(
            SECOND_US, 3, 300_000, 3, 200_000, 3, 1.3, 6, 4, 30 * SECOND_US, 10 * SECOND_US, 60 * SECOND_US, 16);

    /** By seed, the hashes that were recorded while the protocol was a single class. */
    private static final Map<Long, String> RECORDED = Map.of(
            1L, "05a3ad2e9c0e1613",
            2L, "227757ab6fc7da50",
            3L, "597deb87dac34752",
            4L, "adb7e24101333cfa",
            5L, "ad8f78e61487a4b4",
            6L, "8eac780f10f61b82",
            7L, "413ed6247ef01bf4",
            8L, "59cd881c191dec3d",
            9L, "c841954f16a0cc41",
            10L, "6a913fb8ac23ec18");

    private final TreeSet<String> seenCounters = new TreeSet<>();
    private MessageDigest trace;
    private SimulatedCluster cluster;

    @Test
    void messagesTimersAndEventsEqualRecordedOnes() throws NoSuchAlgorithmException {
        Map<Long, String> hashes = new TreeMap<>();
        for (long seed = 1; seed <= 10; seed++) {
            hashes.put(seed, hashOfTrial(seed));
        }
        assertEquals(new TreeMap<>(RECORDED), hashes);
        assertEquals(
                cluster.membership(0).counters().all().keySet(), seenCounters, "counters that the trials incremented");
    }

    private String hashOfTrial(long seed) throws NoSuchAlgorithmException {
        trace = MessageDigest.getInstance("SHA-256");
        cluster = new SimulatedCluster(
                seed, SETTINGS, 12, List.of("a", "b", "c"), new EventQueue(), this::tracedProtocol);
        runTrial();
        MessageCodec codec = new MessageCodec();
        for (int i = 0; i < 12; i++) {
            SwimProtocol member = cluster.swimProtocol(i);
            Map<String, Long> counters = new TreeMap<>(member.counters().all());
            addToTrace(i + " counted " + counters);
            counters.values().removeIf(count -> count == 0);
            seenCounters.addAll(counters.keySet());
            byte[] page = codec.encodeViewPage(
                    member.self(), member.view(), member.isSuperseded(), member.healthMultiplier());
            addToTrace(new String(page, StandardCharsets.UTF_8));
        }
        return HexFormat.of().formatHex(trace.digest(), 0, Long.BYTES);
    }

    private void runTrial() {
        cluster.setLinkFilter((from, to) -> from != 11 && to != 11);
        cluster.startAll();
        cluster.run(20 * SECOND_US);
        cluster.setLinkFilter((from, to) -> from != 3 || to != 4);
        cluster.setLossRate(0.1);
        cluster.run(30 * SECOND_US);
        cluster.kill(3);
        cluster.run(15 * SECOND_US);
        cluster.swimProtocol(2).setServing(false);
        cluster.setLinkFilter((from, to) -> from % 2 == to % 2);
        cluster.run(40 * SECOND_US);
        cluster.setLinkFilter((from, to) -> true);
        cluster.swimProtocol(2).setServing(true);
        cluster.run(20 * SECOND_US);
        cluster.setLossRate(0);
        cluster.start(3, List.of(0, 1), -3_600_000, "d");
        runNameConflict();
        cluster.setPaused(5, true);
        cluster.run(12 * SECOND_US);
        cluster.setPaused(5, false);
        cluster.leave(6);
        cluster.run(10 * SECOND_US);
        injectForeignAndForgedMessages();
        cluster.run(90 * SECOND_US);
    }

    private void runNameConflict() {
        int namesake = cluster.add("node-4");
        cluster.start(namesake, List.of(0), 0, "d");
        cluster.run(50 * SECOND_US);
        cluster.kill(namesake);
        cluster.run(40 * SECOND_US);
    }

    private void injectForeignAndForgedMessages() {
        cluster.start(cluster.add("stranger"), List.of(0), 0, "other");
        cluster.injectDatagram(0, new byte[] {1, 2, 3});
        Identity self = cluster.swimProtocol(0).self();
        cluster.injectDatagram(0, gossip(1, new Member(self, MemberState.SUSPECT, 7, "node-1")));
        cluster.injectDatagram(0, gossip(1, new Member(self, MemberState.ALIVE, 70, "")));
        cluster.injectDatagram(0, gossip(9, new Member(self, MemberState.ALIVE, 0, "")));
        for (int i = 0; i < 20; i++) {
            int protocolVersion = i == 0 ? 9 : 1;
            Identity forged = new Identity(
                    "fake-" + i,
                    1,
                    1,
                    "a",
                    Role.NODE,
                    new InetSocketAddress("127.0.0.9", 9),
                    "d",
                    protocolVersion,
                    protocolVersion);
            cluster.injectDatagram(0, gossip(1, new Member(forged, MemberState.ALIVE, 0, "")));
        }
        for (int i = 0; i < 100; i++) {
            Message.Envelope envelope = new Message.Envelope("d", 1, "node-1", 1, List.of());
            cluster.injectDatagram(0, new MessageCodec().encode(new Message.PingRequest(envelope, i, "node-2")));
        }
    }

    private static byte[] gossip(int version, Member member) {
        return new MessageCodec()
                .encode(new Message.Gossip(new Message.Envelope("d", version, "node-1", 1, List.of(member))));
    }

    /** Returns the wire format of an entry as hex, because toString() would change with a renamed record component. */
    private static String wireBytes(Member entry) {
        return HexFormat.of().formatHex(gossip(1, entry));
    }

    private void addToTrace(String event) {
        long nowUs = cluster == null ? 0 : cluster.nowUs();
        trace.update((nowUs + " " + event + "\n").getBytes(StandardCharsets.UTF_8));
    }

    private SwimProtocol tracedProtocol(MembershipEnvironment environment) {
        String member = environment.self().name() + "/" + environment.self().nonce();
        return new SwimProtocol(new MembershipEnvironment(
                environment.settings(),
                environment.self(),
                environment.seeds(),
                new TracedScheduler(member, environment.scheduler()),
                environment.random(),
                new TracedNetwork(member, environment.network()),
                new TracedListener(member, environment.listener())));
    }

    private final class TracedListener implements MemberListener {
        private final String member;
        private final MemberListener listener;

        TracedListener(String member, MemberListener listener) {
            this.member = member;
            this.listener = listener;
        }

        @Override
        public void onUpdate(Optional<Member> before, Member after) {
            addToTrace(member + " sees " + before.map(SwimTraceTest::wireBytes).orElse("nobody") + " become "
                    + wireBytes(after));
            listener.onUpdate(before, after);
        }

        @Override
        public void onReap(Member reaped) {
            addToTrace(member + " sees " + wireBytes(reaped) + " become nobody");
            listener.onReap(reaped);
        }
    }

    private final class TracedScheduler implements Scheduler {
        private final String member;
        private final Scheduler scheduler;
        private long timerCount;

        TracedScheduler(String member, Scheduler scheduler) {
            this.member = member;
            this.scheduler = scheduler;
        }

        @Override
        public long nowUs() {
            return scheduler.nowUs();
        }

        @Override
        public Timer after(long delayUs, Runnable task) {
            String timer = member + " timer " + ++timerCount;
            addToTrace(timer + " set " + delayUs);
            Timer scheduled = scheduler.after(delayUs, () -> {
                addToTrace(timer + " fires");
                task.run();
            });
            return () -> {
                addToTrace(timer + " cancelled");
                scheduled.cancel();
            };
        }
    }

    private final class TracedNetwork implements Network {
        private final String member;
        private final Network network;

        TracedNetwork(String member, Network network) {
            this.member = member;
            this.network = network;
        }

        @Override
        public void send(InetSocketAddress to, byte[] datagram) {
            addToTrace(member + " sends " + to + " " + HexFormat.of().formatHex(datagram));
            network.send(to, datagram);
        }

        @Override
        public void pushPull(InetSocketAddress to, byte[] body, Consumer<Optional<byte[]>> callback) {
            addToTrace(member + " pushes " + to + " " + new String(body, StandardCharsets.UTF_8));
            network.pushPull(to, body, response -> {
                addToTrace(member + " pulls "
                        + response.map(view -> new String(view, StandardCharsets.UTF_8))
                                .orElse("null"));
                callback.accept(response);
            });
        }
    }
}
