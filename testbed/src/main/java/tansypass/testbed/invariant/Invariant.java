package tansypass.testbed.invariant;

/** The invariants of every run. Reports and traces contain the names of the constants. */
public enum Invariant {
    /** Every accepted request gets exactly one final response, in time. */
    ANSWERED,
    /** No request is retried or hedged beyond what its class allows. */
    REPEATED,
    /** No request is sent to a server after the node was notified that it is draining or terminated. */
    DRAINING,
    /** A node returns a successful response only if a server produced it for this request. */
    INVENTED_ANSWER,
    /** No server receives a request that no client sent. */
    INVENTED_REQUEST,
    /** No process exits unless a fault ends it. */
    DIED,
    /** No request or attempt is in flight, and no process is left, at the end of the run. */
    LEAKED,
    /** No member that is up and without a fault is declared failed. */
    MEMBER_FAILED,
    /** No failed or departed member becomes present again because of an outdated update. */
    MEMBER_RETURNED,
    /** All members that are up have the same view at the end of the run. */
    MEMBERS_AGREE
}
