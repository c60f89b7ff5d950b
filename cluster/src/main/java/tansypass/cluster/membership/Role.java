package tansypass.cluster.membership;

/** The function of a process in the cluster. The names of the constants are part of the wire format. */
public enum Role {
    /** A proxy node, which serves clients. */
    NODE,
    /** A registry, which maintains the endpoint list of web servers. */
    REGISTRY
}
