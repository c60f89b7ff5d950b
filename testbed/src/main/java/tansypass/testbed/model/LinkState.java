package tansypass.testbed.model;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import tansypass.testbed.scenario.Scenario.Fault;
import tansypass.testbed.scenario.Scenario.FaultDirection;
import tansypass.testbed.scenario.Scenario.Kind;

/**
 * The state of a link between two processes, by the faults that are active on it: when a piece of a stream or
 * a datagram that enters it now comes out. Faults may overlap: each begins and ends by itself, and all that
 * are active act together. Times are microseconds. Not thread-safe.
 */
public final class LinkState {
    /** The delay of a lost piece of a stream: the least retransmission timeout that systems use. */
    private static final long RETRANSMISSION_US = 200_000;

    private final long delayUs;
    private final UniformRandomProvider random;
    private final List<Fault> active = new ArrayList<>();
    private final long[] lastDueUs = new long[2];

    /** A direction of the link: from the first end named to the second, or back. */
    public enum Direction {
        THERE,
        BACK
    }

    /** Creates a link with no fault and this delay one way, in microseconds. */
    public LinkState(long delayUs, UniformRandomProvider random) {
        this.delayUs = delayUs;
        this.random = random;
    }

    /** Makes a fault active, or ends one that is active. */
    public void apply(Fault fault, boolean begins) {
        if (begins) {
            active.add(fault);
        } else {
            active.remove(fault);
        }
    }

    private boolean has(Kind kind, Direction direction) {
        return active.stream().anyMatch(f -> f.kind() == kind && isOn(f, direction));
    }

    private static boolean isOn(Fault fault, Direction direction) {
        return fault.direction() == FaultDirection.BOTH
                || fault.direction().name().equals(direction.name());
    }

    /** Returns whether nothing passes in this direction. */
    public boolean isCut(Direction direction) {
        return has(Kind.CUT, direction);
    }

    /** Returns whether a handshake gets no response: it needs both directions. */
    public boolean blocksHandshakes() {
        return isCut(Direction.THERE) || isCut(Direction.BACK);
    }

    /** Returns whether connections are reset. */
    public boolean isReset() {
        return has(Kind.RESET, Direction.THERE) || has(Kind.RESET, Direction.BACK);
    }

    /** Returns whether the ends of connections are not forwarded. */
    public boolean isHalfOpen() {
        return active.stream().anyMatch(f -> f.kind() == Kind.HALF_OPEN);
    }

    /** Returns when the last piece that has entered comes out. */
    public long busyUntilUs() {
        return Math.max(lastDueUs[0], lastDueUs[1]);
    }

    /**
     * Returns when copies of a datagram that enters now come out: none if it is lost, two if it is
     * duplicated. It may overtake an earlier one.
     */
    public List<Long> datagramDueUs(Direction direction, long nowUs, int bytes) {
        long transitUs = delayUs;
        boolean isDuplicated = false;
        for (Fault fault : active) {
            if (!isOn(fault, direction)) {
                continue;
            }
            boolean hit = random.nextDouble() < fault.amount();
            switch (fault.kind()) {
                case CUT -> {
                    return List.of();
                }
                case LOSS -> {
                    if (hit) {
                        return List.of();
                    }
                }
                case DELAY -> transitUs += fault.timeUs();
                case JITTER -> transitUs += Math.round(random.nextDouble() * fault.timeUs());
                case REORDER -> transitUs += hit ? fault.timeUs() : 0;
                case DUPLICATE -> isDuplicated |= hit;
                case RATE -> transitUs += Math.round(bytes * 1e6 / fault.amount());
                default -> {}
            }
        }
        long dueUs = nowUs + transitUs;
        return isDuplicated ? List.of(dueUs, dueUs) : List.of(dueUs);
    }

    /** Returns when a piece of a stream that enters now comes out, never before an earlier one. */
    public long streamDueUs(Direction direction, long nowUs, int bytes) {
        long transitUs = delayUs;
        double rate = Double.MAX_VALUE;
        for (Fault fault : active) {
            if (isOn(fault, direction)) {
                transitUs += switch (fault.kind()) {
                    case DELAY -> fault.timeUs();
                    case LOSS -> random.nextDouble() < fault.amount() ? RETRANSMISSION_US : 0;
                    case JITTER -> Math.round(random.nextDouble() * fault.timeUs());
                    default -> 0;
                };
                rate = fault.kind() == Kind.RATE ? Math.min(rate, fault.amount()) : rate;
            }
        }
        int index = direction.ordinal();
        long sendUs = rate == Double.MAX_VALUE ? 0 : Math.round(bytes * 1e6 / rate);
        // Under a limit of the rate, pieces also wait for one another.
        long dueUs = sendUs == 0
                ? Math.max(nowUs + transitUs, lastDueUs[index])
                : Math.max(nowUs + transitUs, lastDueUs[index]) + sendUs;
        lastDueUs[index] = dueUs;
        return dueUs;
    }
}
