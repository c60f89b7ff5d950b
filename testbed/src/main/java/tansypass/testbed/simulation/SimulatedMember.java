package tansypass.testbed.simulation;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;
import tansypass.cluster.membership.Membership;

/**
 * A member of a {@link SimulatedCluster}. Its name and address stay the same for all of its processes; the process and
 * the protocol instance are those of its last start. Used on the event queue's thread only.
 */
final class SimulatedMember {
    private static final int PORT = 7_946;

    private final int number;
    private final String name;
    private final InetSocketAddress address;
    private Optional<SimulatedProcess> process = Optional.empty();
    private Optional<Membership> membership = Optional.empty();
    private int generation;

    /** Creates a member without a process. */
    SimulatedMember(int number, String name) {
        this.number = number;
        this.name = name;
        address = addressOf(number);
    }

    /** Returns the loopback address of the member with this number, in 127.64.0.0/10. */
    static InetSocketAddress addressOf(int number) {
        byte[] host = {127, (byte) (64 + number / 62_500), (byte) (number / 250 % 250), (byte) (number % 250 + 1)};
        try {
            return new InetSocketAddress(InetAddress.getByAddress(host), PORT);
        } catch (UnknownHostException e) {
            throw new AssertionError("InetAddress rejected the IPv4 address of member " + number, e);
        }
    }

    int number() {
        return number;
    }

    String name() {
        return name;
    }

    InetSocketAddress address() {
        return address;
    }

    /** Replaces the process by a new one, which is the next generation. */
    void startProcess(SimulatedProcess newProcess) {
        process = Optional.of(newProcess);
        generation++;
    }

    void setMembership(Membership membership) {
        this.membership = Optional.of(membership);
    }

    /** Returns whether the member was ever started. */
    boolean hasStarted() {
        return process.isPresent();
    }

    /** Returns the process of the last start, which may be dead; only to be called after the first start. */
    SimulatedProcess process() {
        return process.orElseThrow();
    }

    /** Returns the protocol instance of the last start; only to be called after the first start. */
    Membership membership() {
        return membership.orElseThrow();
    }

    /** Returns the number of processes started so far. */
    int generation() {
        return generation;
    }

    /** Returns whether the process is running and not paused. */
    boolean isUp() {
        return process.isPresent() && !process().isDead() && !process().isPaused();
    }
}
