package tansypass.testbed.simulation;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import tansypass.cluster.membership.Membership;
import tansypass.cluster.membership.Network;
import tansypass.cluster.runtime.RandomStreams;
import tansypass.testbed.model.LinkMatrix;
import tansypass.testbed.scenario.Scenario.Fault;

/**
 * The network between the members of a {@link SimulatedCluster}. It delays datagrams and push-pull syncs, loses
 * datagrams and blocks links. Times are microseconds. Used on the event queue's thread only.
 */
final class SimulatedClusterNetwork {
    /** A push-pull sync without a response fails after this time. */
    private static final long PUSH_PULL_TIMEOUT_US = 1_000_000;
    /** The number of datagrams that the kernel buffers for a paused process; further ones are lost. */
    private static final int RECEIVE_BUFFER_DATAGRAMS = 300;
    /** Without faults, a transit takes at least this time and less than twice this time. */
    private static final long MIN_TRANSIT_US = 500;

    private final EventQueue queue;
    private final LinkMatrix links;
    private final UniformRandomProvider random;
    private final Map<InetSocketAddress, SimulatedMember> membersByAddress = new HashMap<>();
    private double lossRate;
    private long datagramsSent;
    private long datagramBytesSent;
    private long pushPullBytesSent;

    /** Creates a network without members, loss or faults. */
    SimulatedClusterNetwork(long seed, EventQueue queue) {
        this.queue = queue;
        links = new LinkMatrix(seed, (from, to) -> 0);
        random = RandomStreams.of(seed, "network");
    }

    /** Connects a member to the network. */
    void add(SimulatedMember member) {
        membersByAddress.put(member.address(), member);
    }

    /** Returns a member's interface to the network. */
    Network endpointOf(SimulatedMember member) {
        return new Endpoint(member);
    }

    /** Sets the filter that blocks links in addition to the faults, for example to simulate a partition. */
    void setLinkFilter(LinkMatrix.Filter filter) {
        links.setFilter(filter);
    }

    /** Begins or ends a fault of the link between two members. */
    void applyFault(int first, int second, Fault fault, boolean begins) {
        links.apply(first, second, fault, begins);
    }

    /** Sets the share of datagrams that are lost, 0 to 1. */
    void setLossRate(double lossRate) {
        this.lossRate = lossRate;
    }

    long datagramsSent() {
        return datagramsSent;
    }

    long datagramBytesSent() {
        return datagramBytesSent;
    }

    long pushPullBytesSent() {
        return pushPullBytesSent;
    }

    private long drawTransitUs() {
        return MIN_TRANSIT_US + random.nextLong(MIN_TRANSIT_US);
    }

    /** Returns whether two members cannot exchange data on a connection, which needs both directions of the link. */
    private boolean isConnectionBlocked(SimulatedMember from, SimulatedMember to) {
        return links.isCut(from.number(), to.number()) || links.isCut(to.number(), from.number());
    }

    /** Returns the delay that faults add to a message on a connection. */
    private long connectionDelayUs(SimulatedMember from, SimulatedMember to, int bytes) {
        return links.streamDueUs(from.number(), to.number(), queue.nowUs(), bytes) - queue.nowUs();
    }

    /** The interface of one member to the network. */
    private final class Endpoint implements Network {
        private final SimulatedMember local;

        Endpoint(SimulatedMember local) {
            this.local = local;
        }

        @Override
        public void send(InetSocketAddress to, byte[] datagram) {
            datagramsSent++;
            datagramBytesSent += datagram.length;
            SimulatedMember receiver = membersByAddress.get(to);
            if (receiver == null
                    || !links.passesFilter(local.number(), receiver.number())
                    || random.nextDouble() < lossRate) {
                return;
            }
            long nowUs = queue.nowUs();
            for (long dueUs : links.datagramDueUs(local.number(), receiver.number(), nowUs, datagram.length)) {
                queue.after(dueUs - nowUs + drawTransitUs(), () -> receiveDatagram(receiver, datagram));
            }
        }

        private void receiveDatagram(SimulatedMember receiver, byte[] datagram) {
            if (!receiver.hasStarted()) {
                return;
            }
            SimulatedProcess process = receiver.process();
            if (!process.isPaused() || process.pendingEventCount() < RECEIVE_BUFFER_DATAGRAMS) {
                Membership membership = receiver.membership();
                process.deliver(() -> membership.onDatagram(local.address(), datagram));
            }
        }

        @Override
        public void pushPull(InetSocketAddress to, byte[] body, Consumer<Optional<byte[]>> callback) {
            pushPullBytesSent += body.length;
            PushPullCallback response = new PushPullCallback(local.process(), callback);
            queue.after(PUSH_PULL_TIMEOUT_US, () -> response.complete(Optional.empty()));
            SimulatedMember peer = membersByAddress.get(to);
            if (peer == null || !peer.hasStarted() || isConnectionBlocked(local, peer)) {
                return;
            }
            Membership membership = peer.membership();
            // Two transits: one for the handshake and one for the request.
            queue.after(
                    2 * drawTransitUs() + connectionDelayUs(local, peer, body.length),
                    () -> peer.process().deliver(() -> respond(peer, membership, body, response)));
        }

        private void respond(SimulatedMember peer, Membership membership, byte[] body, PushPullCallback response) {
            Optional<byte[]> result = membership.onPushPull(body);
            pushPullBytesSent += result.map(view -> view.length).orElse(0);
            queue.after(drawTransitUs() + connectionDelayUs(peer, local, body.length), () -> response.complete(result));
        }
    }

    /** Delivers the first result of a push-pull sync, a response or a timeout, to the process that started it. */
    private static final class PushPullCallback {
        private final SimulatedProcess caller;
        private final Consumer<Optional<byte[]>> callback;
        private boolean isCompleted;

        PushPullCallback(SimulatedProcess caller, Consumer<Optional<byte[]>> callback) {
            this.caller = caller;
            this.callback = callback;
        }

        void complete(Optional<byte[]> result) {
            caller.deliver(() -> {
                if (!isCompleted) {
                    isCompleted = true;
                    callback.accept(result);
                }
            });
        }
    }
}
