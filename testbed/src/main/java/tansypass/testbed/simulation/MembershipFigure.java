package tansypass.testbed.simulation;

/** The figures that a {@link ConvergenceTrial} measures, in the order of reports. */
public enum MembershipFigure {
    /** Time from a simultaneous start until all views are equal, in seconds. */
    JOIN_TIME("all agree after a start at once, s"),
    /** Time from the death of a member until the first other member detects it, in seconds. */
    FIRST_DETECTION_TIME("a death is seen by the first, s"),
    /** Time from the death of a member until all other members have detected it, in seconds. */
    FULL_DETECTION_TIME("and by all, s"),
    /** Time from the end of a partition, which separates two halves for 60 s, until all views are equal, in seconds. */
    HEALING_TIME("all agree after a partition in halves of 60 s, s"),
    /** Datagrams per second and member while the membership does not change. */
    DATAGRAM_RATE("datagrams a second of a process at rest"),
    /** Bytes of datagrams per second and member while the membership does not change. */
    DATAGRAM_BYTE_RATE("bytes a second of them"),
    /** Bytes of push-pull syncs per second and member while the membership does not change. */
    PUSH_PULL_BYTE_RATE("bytes a second of full exchanges"),
    /** CPU time per second and member in microseconds; includes the cost of the simulated network. */
    CPU_TIME("processor time a second of a process at rest, us"),
    /** Number of times that live members were declared failed before a member died, summed over all views. */
    FALSE_POSITIVES("wrongly failed in 90 s");

    private final String reportName;

    MembershipFigure(String reportName) {
        this.reportName = reportName;
    }

    /** Returns the name of the figure in tables and JSON reports. */
    public String reportName() {
        return reportName;
    }
}
