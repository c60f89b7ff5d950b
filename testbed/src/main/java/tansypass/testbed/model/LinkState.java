package tansypass.testbed.model;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import tansypass.testbed.scenario.Scenario.Fault;
import tansypass.testbed.scenario.Scenario.FaultDirection;
import tansypass.testbed.scenario.Scenario.Kind;

/**
 * The state of a link between two processes, which computes when a chunk of a stream or a datagram arrives at the other
 * end. Faults may overlap: each begins and ends independently, and all active ones take effect together. Times
 * are microseconds. Not thread-safe.
 */
public final class LinkState {
    /** The extra delay of a lost chunk of a stream: the smallest retransmission timeout of common TCP stacks. */
    private static final long RETRANSMISSION_DELAY_US = 200_000;

    private final long delayUs;
    private final UniformRandomProvider random;
    private final List<Fault> activeFaults = new ArrayList<>();
    /** By direction, the arrival time of the last chunk sent so far. */
    private final long[] lastDueUs = new long[2];

    /** A direction of the link: from the first end to the second, or back. */
    public enum Direction {
        THERE,
        BACK
    }

    /** Creates a link without faults and with this one-way delay, in microseconds. */
    public LinkState(long delayUs, UniformRandomProvider random) {
        this.delayUs = delayUs;
        this.random = random;
    }

    /** Begins a fault, or ends an active one. */
    public void apply(Fault fault, boolean begins) {
        if (begins) {
            activeFaults.add(fault);
        } else {
            activeFaults.remove(fault);
        }
    }

    private boolean hasFault(Kind kind, Direction direction) {
        return activeFaults.stream().anyMatch(f -> f.kind() == kind && affects(f, direction));
    }

    private static boolean affects(Fault fault, Direction direction) {
        return fault.direction() == FaultDirection.BOTH
                || fault.direction().name().equals(direction.name());
    }

    /** Returns whether a fault blocks all data in this direction. */
    public boolean isCut(Direction direction) {
        return hasFault(Kind.CUT, direction);
    }

    /** Returns whether a handshake gets no response, because one of the two directions is cut. */
    public boolean blocksHandshakes() {
        return isCut(Direction.THERE) || isCut(Direction.BACK);
    }

    /** Returns whether a fault resets all connections on the link. */
    public boolean isReset() {
        return hasFault(Kind.RESET, Direction.THERE) || hasFault(Kind.RESET, Direction.BACK);
    }

    /** Returns whether a fault hides the close or reset of a connection from the other end. */
    public boolean isHalfOpen() {
        return activeFaults.stream().anyMatch(f -> f.kind() == Kind.HALF_OPEN);
    }

    /** Returns the arrival time of the last chunk sent so far, in either direction. */
    public long busyUntilUs() {
        return Math.max(lastDueUs[0], lastDueUs[1]);
    }

    /**
     * Returns the arrival times of the copies of a datagram that is sent now: none if it is lost, two if it is
     * duplicated. The datagram may overtake earlier ones.
     */
    public List<Long> datagramDueUs(Direction direction, long nowUs, int bytes) {
        long transitUs = delayUs;
        boolean isDuplicated = false;
        for (Fault fault : activeFaults) {
            if (!affects(fault, direction)) {
                continue;
            }
            boolean isSelected = random.nextDouble() < fault.amount();
            switch (fault.kind()) {
                case CUT -> {
                    return List.of();
                }
                case LOSS -> {
                    if (isSelected) {
                        return List.of();
                    }
                }
                case DELAY -> transitUs += fault.timeUs();
                case JITTER -> transitUs += Math.round(random.nextDouble() * fault.timeUs());
                case REORDER -> transitUs += isSelected ? fault.timeUs() : 0;
                case DUPLICATE -> isDuplicated |= isSelected;
                case RATE -> transitUs += Math.round(bytes * 1e6 / fault.amount());
                default -> {}
            }
        }
        long dueUs = nowUs + transitUs;
        return isDuplicated ? List.of(dueUs, dueUs) : List.of(dueUs);
    }

    /** Returns the arrival time of a stream chunk that is sent now; it is never before that of an earlier chunk. */
    public long streamDueUs(Direction direction, long nowUs, int bytes) {
        long transitUs = delayUs;
        double bytesPerS = Double.MAX_VALUE;
        for (Fault fault : activeFaults) {
            if (affects(fault, direction)) {
                transitUs += switch (fault.kind()) {
                    case DELAY -> fault.timeUs();
                    case LOSS -> random.nextDouble() < fault.amount() ? RETRANSMISSION_DELAY_US : 0;
                    case JITTER -> Math.round(random.nextDouble() * fault.timeUs());
                    default -> 0;
                };
                bytesPerS = fault.kind() == Kind.RATE ? Math.min(bytesPerS, fault.amount()) : bytesPerS;
            }
        }
        int index = direction.ordinal();
        long sendUs = bytesPerS == Double.MAX_VALUE ? 0 : Math.round(bytes * 1e6 / bytesPerS);
        // Under a rate limit, a chunk is sent only after the earlier chunks.
        long dueUs = sendUs == 0
                ? Math.max(nowUs + transitUs, lastDueUs[index])
                : Math.max(nowUs + transitUs, lastDueUs[index]) + sendUs;
        lastDueUs[index] = dueUs;
        return dueUs;
    }
}
