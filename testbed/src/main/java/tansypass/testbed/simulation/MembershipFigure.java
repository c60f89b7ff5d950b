package tansypass.testbed.simulation;

/** What a {@link ConvergenceTrial} measures, in the order of reports. */
public enum MembershipFigure {
    /** Time from a simultaneous start until all views are equal, in seconds. */
    JOIN_TIME("all agree after a start at once, s"),
    /** Time until a first member detects a failure, in seconds. */
    FIRST_DETECTION_TIME("a death is seen by the first, s"),
    /** Time until all members have detected it, in seconds. */
    FULL_DETECTION_TIME("and by all, s"),
    /** Time until all views are equal after a partition in halves of 60 s, in seconds. */
    HEALING_TIME("all agree after a partition in halves of 60 s, s"),
    /** Datagrams per second and member, without changes of the membership. */
    DATAGRAM_RATE("datagrams a second of a process at rest"),
    /** Bytes in these datagrams per second and member. */
    DATAGRAM_BYTE_RATE("bytes a second of them"),
    /** Bytes of push-pull syncs per second and member, without changes of the membership. */
    PUSH_PULL_BYTE_RATE("bytes a second of full exchanges"),
    /** CPU time, the network's model included, per second and member, in microseconds. */
    CPU_TIME("processor time a second of a process at rest, us"),
    /** How often members were declared failed before one did fail, in all views together. */
    FALSE_POSITIVES("wrongly failed in 90 s");

    private final String reportName;

    MembershipFigure(String reportName) {
        this.reportName = reportName;
    }

    /** Returns the name in reports, which is part of their JSON. */
    public String reportName() {
        return reportName;
    }
}
