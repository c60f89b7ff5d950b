package tansypass.rig.model;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongBinaryOperator;

import tansypass.fleet.env.Randoms;
import tansypass.rig.model.LinkState.Direction;
import tansypass.rig.scenario.Scenario.Fault;
import tansypass.rig.scenario.Scenario.Way;

/** The links between all pairs of nodes, each way by itself, by the faults that are on them now. */
public final class Mesh {
    private final long seed;
    private final LongBinaryOperator delayUs;
    private final Map<String, LinkState> ways = new HashMap<>();

    /** {@code delayUs} is what a sound way takes from one node to another. */
    public Mesh(long seed, LongBinaryOperator delayUs) {
        this.seed = seed;
        this.delayUs = delayUs;
    }

    /** The way from one to the other; its direction is THERE. */
    public LinkState way(int from, int to) {
        return ways.computeIfAbsent(from + ">" + to, name -> new LinkState(delayUs.applyAsLong(from, to),
                Randoms.of(seed, "member-" + name)));
    }

    /** A fault begins or ends on the link from the first to the second, on the ways that it names. */
    public void put(int first, int second, Fault fault, boolean begins) {
        if (fault.way() != Way.BACK) {
            put(way(first, second), fault, begins);
        }
        if (fault.way() != Way.THERE) {
            put(way(second, first), fault, begins);
        }
    }

    private static void put(LinkState way, Fault fault, boolean begins) {
        Fault whole = fault.on(Way.BOTH);
        if (begins) {
            way.begin(whole);
        } else {
            way.end(whole);
        }
    }

    /** Whether nothing passes from one to the other. */
    public boolean isCut(int from, int to) {
        return way(from, to).isCut(Direction.THERE);
    }

    /** When copies of a datagram come out, as {@link LinkState#datagramDueUs} says. */
    public List<Long> datagramDueUs(int from, int to, long nowUs, int bytes) {
        return way(from, to).datagramDueUs(Direction.THERE, nowUs, bytes);
    }
}
