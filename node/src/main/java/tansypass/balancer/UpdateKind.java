package tansypass.balancer;

/** The content of an update of the endpoint list. */
public enum UpdateKind {
    /** Only the entries that changed. */
    DELTA,
    /** All entries. */
    SNAPSHOT,
    /** All entries that the node had cached, possibly stale. Sent once, when the node starts. */
    CACHED
}
