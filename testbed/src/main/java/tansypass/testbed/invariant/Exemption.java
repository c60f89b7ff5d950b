package tansypass.testbed.invariant;

/** A period in which a missing or late response of a node is not a violation, because a fault affects the node. */
public final class Exemption {
    private final long startUs;
    private long endUs = Long.MAX_VALUE;

    Exemption(long startUs) {
        this.startUs = startUs;
    }

    /** Ends the period at {@code atUs}, in microseconds since the load began; a later call replaces the time. */
    public void end(long atUs) {
        endUs = atUs;
    }

    boolean overlaps(long firstUs, long lastUs) {
        return startUs <= lastUs && endUs >= firstUs;
    }
}
