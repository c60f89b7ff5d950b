package tansypass.balancer;

/** The rule for how often a request may be executed. */
public enum Idempotency {
    /** The request may be executed any number of times. */
    IDEMPOTENT,
    /** The request is executed once per idempotency key: the servers of a scope drop repeats within a window. */
    KEYED,
    /** The request must not be executed more than once. */
    NON_IDEMPOTENT
}
