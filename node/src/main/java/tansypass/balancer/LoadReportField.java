package tansypass.balancer;

/** Fields of a server's load report. The name has the unit: MS for milliseconds, PER_S for events per second. */
public enum LoadReportField {
    IN_FLIGHT,
    QUEUED,
    UTILISATION,
    LATENCY_MS,
    SERVED_PER_S,
    ERRORS_PER_S,
    OTHER
}
