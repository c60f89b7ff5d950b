package tansypass.testbed.invariant;

/**
 * A violation of an invariant.
 *
 * @param atUs the time since the load began, in microseconds
 * @param description what happened, with the name of the request or process concerned
 */
public record Violation(Invariant invariant, long atUs, String description) {
    @Override
    public String toString() {
        return invariant + " at " + String.format(java.util.Locale.ROOT, "%.3f", atUs / 1e6) + " s: " + description;
    }
}
