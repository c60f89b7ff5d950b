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
 * The links between all pairs of nodes, each direction by itself, by the faults that are active on them. Times
 * are microseconds. Not thread-safe.
 */
public final class LinkMatrix {
    /** Which datagrams and connections pass, whatever faults are active; a partition is one. */
    public interface Filter {
        /** Returns whether anything passes from one node to the other. */
        boolean passes(int from, int to);
    }

    private final long seed;
    private final LongBinaryOperator delayUs;
    /** Only directions that have had a fault; all others pass everything. */
    private final Map<Long, LinkState> links = new HashMap<>();

    private Filter filter = (from, to) -> true;

    /** Creates links with no fault; {@code delayUs} gives the delay from one node to another. */
    public LinkMatrix(long seed, LongBinaryOperator delayUs) {
        this.seed = seed;
        this.delayUs = delayUs;
    }

    private static long key(int from, int to) {
        return (long) from << Integer.SIZE | to;
    }

    /** Begins or ends a fault on the link from the first node to the second, in the directions that it names. */
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
                key(from, to),
                missing -> new LinkState(
                        delayUs.applyAsLong(from, to), RandomStreams.of(seed, "member-" + from + ">" + to)));
        link.apply(fault, begins);
    }

    /** Sets the filter; there is none at first. */
    public void setFilter(Filter filter) {
        this.filter = filter;
    }

    /** Returns whether the filter passes anything from one node to the other. */
    public boolean passes(int from, int to) {
        return filter.passes(from, to);
    }

    /** Returns whether nothing passes from one node to the other, by the filter or a fault. */
    public boolean isCut(int from, int to) {
        LinkState link = links.get(key(from, to));
        return !passes(from, to) || (link != null && link.isCut(Direction.THERE));
    }

    /** Returns when copies of a datagram come out, as {@link LinkState#datagramDueUs} does. */
    public List<Long> datagramDueUs(int from, int to, long nowUs, int bytes) {
        LinkState link = links.get(key(from, to));
        return link == null
                ? List.of(nowUs + delayUs.applyAsLong(from, to))
                : link.datagramDueUs(Direction.THERE, nowUs, bytes);
    }

    /** Returns when a piece of a stream comes out, as {@link LinkState#streamDueUs} does. */
    public long streamDueUs(int from, int to, long nowUs, int bytes) {
        LinkState link = links.get(key(from, to));
        return link == null ? nowUs + delayUs.applyAsLong(from, to) : link.streamDueUs(Direction.THERE, nowUs, bytes);
    }
}
