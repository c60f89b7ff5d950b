package tansypass.balancer;

/** The rule for how often a request may be executed. */
public enum Idempotency {
    /** The request may be executed any number of times. */
    IDEMPOTENT,
    /** The request may be repeated: the servers of a scope drop repeats of an idempotency key within a window. */
    KEYED,
    /** The request must not be executed more than once. */
    NON_IDEMPOTENT
}
