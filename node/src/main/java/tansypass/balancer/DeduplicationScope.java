package tansypass.balancer;

/** The group of servers that share idempotency keys: within it, a repeat with the same key is dropped. */
public enum DeduplicationScope {
    /** All servers. */
    ALL,
    /** The servers of one zone. */
    ZONE,
    /** The servers of one cell. */
    CELL
}
