package tansypass.balancer;

/** The servers among which repeats of a request with the same idempotency key are dropped. */
public enum DeduplicationScope {
    /** All servers. */
    ALL,
    /** The servers of one zone. */
    ZONE,
    /** The servers of one cell. */
    CELL
}
