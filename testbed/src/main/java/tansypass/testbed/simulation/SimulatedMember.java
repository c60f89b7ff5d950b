package tansypass.testbed.simulation;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;
import tansypass.cluster.membership.Membership;

/**
 * A member of a {@link SimulatedCluster}: its name and address, which outlive its processes, and the process
 * and membership protocol that it has now. Used on the event queue's thread only.
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

    /** Returns the loopback address of the member with this number. */
    static InetSocketAddress addressOf(int number) {
        byte[] host = {127, (byte) (64 + number / 62_500), (byte) (number / 250 % 250), (byte) (number % 250 + 1)};
        try {
            return new InetSocketAddress(InetAddress.getByAddress(host), PORT);
        } catch (UnknownHostException e) {
            throw new AssertionError("four bytes are an address", e);
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

    /** Replaces its process by a new one, and counts it as its next generation. */
    void startProcess(SimulatedProcess started) {
        process = Optional.of(started);
        generation++;
    }

    void setMembership(Membership membership) {
        this.membership = Optional.of(membership);
    }

    /** Returns whether it has had a process, dead or alive. */
    boolean hasStarted() {
        return process.isPresent();
    }

    /** Returns its last process, dead or alive; only to be called after the first start. */
    SimulatedProcess process() {
        return process.orElseThrow();
    }

    /** Returns the protocol instance of its last process; only to be called after the first start. */
    Membership membership() {
        return membership.orElseThrow();
    }

    /** Returns how many processes it has had. */
    int generation() {
        return generation;
    }

    /** Returns whether its process is running and not paused. */
    boolean isUp() {
        return process.isPresent() && !process().isDead() && !process().isPaused();
    }
}
