package tansypass.balancer;

/** Whether a request may be executed more than once. */
public enum Idempotency {
    /** Any number of times. */
    IDEMPOTENT,
    /** Once for each idempotency key: the servers of a scope drop repeats within a window. */
    KEYED,
    /** Never. */
    NON_IDEMPOTENT
}
