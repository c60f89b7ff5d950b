package tansypass.testbed.invariant;

/** What has to hold in every run. Reports and traces contain the names of the constants. */
public enum Invariant {
    /** Every accepted request gets one final response in time. */
    ANSWERED,
    /** No request is retried or hedged beyond what its class allows. */
    REPEATED,
    /** No request is sent to a server after the node was notified that it is draining or terminated. */
    DRAINING,
    /** Only a response that a server produced for the request is served. */
    INVENTED_ANSWER,
    /** No server receives a request that no client sent. */
    INVENTED_REQUEST,
    /** No process exits unless a fault ends it. */
    DIED,
    /** No request, attempt or process is left at the end. */
    LEAKED,
    /** No member that is up and has no fault is declared failed. */
    MEMBER_FAILED,
    /** No member comes back by an outdated update. */
    MEMBER_RETURNED,
    /** All members that are up have one view at the end. */
    MEMBERS_AGREE
}
