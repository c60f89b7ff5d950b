package tansypass.testbed.invariant;

/** A period in which a node is not held responsible for responses that its clients miss. */
public final class Excuse {
    private final long startUs;
    private long endUs = Long.MAX_VALUE;

    Excuse(long startUs) {
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
