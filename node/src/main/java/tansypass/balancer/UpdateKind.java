package tansypass.balancer;

/** What an update of the endpoint list contains. */
public enum UpdateKind {
    /** Only the entries that changed. */
    DELTA,
    /** All entries. */
    SNAPSHOT,
    /** All entries as the node had cached them, possibly stale; once, at the start. */
    CACHED
}
