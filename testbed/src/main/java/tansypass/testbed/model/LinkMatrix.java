package tansypass.testbed.model;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongBinaryOperator;
import tansypass.cluster.runtime.RandomStreams;
import tansypass.testbed.model.LinkState.Direction;
import tansypass.testbed.scenario.Scenario.Fault;
import tansypass.testbed.scenario.Scenario.FaultDirection;

/**
 * The links between all pairs of nodes. Each direction of a link has its own state, which depends on the active faults.
 * Times are microseconds. Not thread-safe.
 */
public final class LinkMatrix {
    /** Blocks links independently of faults, such as those between the sides of a partition. */
    public interface Filter {
        /** Returns whether datagrams and connections pass from one node to another. */
        boolean passes(int from, int to);
    }

    private final long seed;
    private final LongBinaryOperator delayUs;
    /** By direction, the links that have ever had a fault; all others only add the delay. */
    private final Map<Long, LinkState> links = new HashMap<>();

    private Filter filter = (from, to) -> true;

    /** Creates links without faults; {@code delayUs} returns the delay from one node to another. */
    public LinkMatrix(long seed, LongBinaryOperator delayUs) {
        this.seed = seed;
        this.delayUs = delayUs;
    }

    private static long linkKey(int from, int to) {
        return (long) from << Integer.SIZE | to;
    }

    /** Begins or ends a fault on the link from the first node to the second, in the directions of the fault. */
    public void apply(int first, int second, Fault fault, boolean begins) {
        if (fault.direction() != FaultDirection.BACK) {
            applyOneWay(first, second, fault.withDirection(FaultDirection.BOTH), begins);
        }
        if (fault.direction() != FaultDirection.THERE) {
            applyOneWay(second, first, fault.withDirection(FaultDirection.BOTH), begins);
        }
    }

    private void applyOneWay(int from, int to, Fault fault, boolean begins) {
        LinkState link = links.computeIfAbsent(
                linkKey(from, to),
                missing -> new LinkState(
                        delayUs.applyAsLong(from, to), RandomStreams.of(seed, "member-" + from + ">" + to)));
        link.apply(fault, begins);
    }

    /** Sets the filter; the initial one passes everything. */
    public void setFilter(Filter filter) {
        this.filter = filter;
    }

    /** Returns whether the filter lets datagrams and connections pass from one node to another. */
    public boolean passesFilter(int from, int to) {
        return filter.passes(from, to);
    }

    /** Returns whether the filter or a fault blocks all data from one node to another. */
    public boolean isCut(int from, int to) {
        LinkState link = links.get(linkKey(from, to));
        return !passesFilter(from, to) || (link != null && link.isCut(Direction.THERE));
    }

    /** Returns the arrival times of the copies of a datagram; see {@link LinkState#datagramDueUs}. */
    public List<Long> datagramDueUs(int from, int to, long nowUs, int bytes) {
        LinkState link = links.get(linkKey(from, to));
        return link == null
                ? List.of(nowUs + delayUs.applyAsLong(from, to))
                : link.datagramDueUs(Direction.THERE, nowUs, bytes);
    }

    /** Returns the arrival time of a chunk of a stream; see {@link LinkState#streamDueUs}. */
    public long streamDueUs(int from, int to, long nowUs, int bytes) {
        LinkState link = links.get(linkKey(from, to));
        return link == null ? nowUs + delayUs.applyAsLong(from, to) : link.streamDueUs(Direction.THERE, nowUs, bytes);
    }
}
