package tansypass.testbed.scenario;

import java.util.List;
import tansypass.config.NodeFile.DeduplicationScope;
import tansypass.config.NodeFile.Idempotency;

/**
 * The description of a run: nodes, servers, links, load and faults. Times are microseconds.
 *
 * @param lengthUs the duration of the load
 * @param settleUs the time after the load in which requests may still end; a request that is open afterwards counts as
 *     never answered
 * @param cluster the settings of the membership protocol; null if the nodes are not members of a cluster
 */
public record Scenario(
        String name,
        long lengthUs,
        long settleUs,
        Nodes nodes,
        Servers servers,
        Clients clients,
        LinkDelays linkDelays,
        Cluster cluster,
        List<RequestClass> classes,
        List<Fault> faults) {
    /** The number of nodes, from the first, through which the other nodes join the cluster. */
    public static final int SEED_MEMBERS = 3;

    /**
     * The settings of the nodes, which are all alike.
     *
     * @param zones the zones, to which nodes and servers are assigned in turn
     * @param maxAttempts the largest number of attempts of a request
     * @param hedging whether a request may have two attempts in flight
     * @param cancellation whether attempts may be cancelled
     * @param retryAfterUs the longest Retry-After of a rejection; 0 for none
     * @param drainGraceUs how long after a server starts to drain requests may still be sent to it
     */
    public record Nodes(
            int count,
            List<String> zones,
            int maxAttempts,
            boolean hedging,
            boolean cancellation,
            long retryAfterUs,
            long connectTimeoutUs,
            long drainGraceUs,
            String logLevel) {}

    /**
     * The settings of the web servers, which are all alike. Servers are assigned to the zones in turn.
     *
     * @param cores the number of requests that a server executes at the same time
     * @param maxQueued the largest number of queued requests of a server
     * @param slowStartFactor the part of its speed, 0 to 1, with which a server starts; it increases linearly to 1 over
     *     {@code slowStartUs}
     * @param handshakeWorkUs the additional work of the first request on a connection
     * @param maxConnections the largest number of connections that a server accepts
     * @param idleTimeoutUs the time after which a server closes an idle connection
     * @param serversPerCell the number of servers in a cell, which is one of the scopes of deduplication
     * @param sendsLoadReports whether responses have a load report
     */
    public record Servers(
            int count,
            int cores,
            int maxQueued,
            double slowStartFactor,
            long slowStartUs,
            long handshakeWorkUs,
            int maxConnections,
            long idleTimeoutUs,
            int serversPerCell,
            boolean sendsLoadReports) {}

    /**
     * The clients. The load is an open loop: requests are sent whether or not earlier ones have ended.
     *
     * @param requestsPerS the mean number of requests per second
     * @param failureDetectionUs the time in which the clients' load balancer detects that a node has died
     * @param maxOpenRequests the largest number of open requests; further requests are not sent
     */
    public record Clients(double requestsPerS, long failureDetectionUs, int maxOpenRequests) {}

    /**
     * The delays of the links in one direction.
     *
     * @param sameZoneUs the delay between two processes in the same zone
     * @param crossZoneUs the delay between two processes in different zones
     */
    public record LinkDelays(long sameZoneUs, long crossZoneUs) {}

    /**
     * The settings of the nodes' membership protocol.
     *
     * @param periodUs the protocol period, the interval at which a member probes others
     * @param probeTimeoutUs the time after which a probe without a response is repeated through other members
     */
    public record Cluster(long periodUs, long probeTimeoutUs) {}

    /**
     * A class of requests.
     *
     * @param share the share of the requests, relative to the shares of other classes
     * @param deduplicationWindowUs the time for which servers remember idempotency keys
     * @param meanWorkUs the mean of the work on one core of a server, which is exponentially distributed
     * @param latencyObjectiveUs the latency up to which a response has its full value
     */
    public record RequestClass(
            String name,
            double share,
            Idempotency idempotency,
            DeduplicationScope deduplicationScope,
            long deduplicationWindowUs,
            long meanWorkUs,
            long latencyObjectiveUs,
            long deadlineUs) {}

    /**
     * The kinds of faults. Files contain the names of the constants, and random schedules depend on their order. The
     * constants refer to the fault's components {@code amount} and {@code timeUs}.
     */
    public enum Kind {
        /** Sends SIGKILL to the process, which is started again when the fault ends. */
        KILL,
        /** Sends SIGTERM to the process, which is started again when the fault ends. */
        TERM,
        /** Sends SIGSTOP to the process, and SIGCONT when the fault ends. */
        PAUSE,
        /** A server is draining: it is listed as draining, and it rejects new requests. */
        DRAIN,
        /** A server runs at the fraction {@code amount} of its speed. */
        CHOKE,
        /** A server sends no response. */
        HANG,
        /** A server answers the fraction {@code amount} of requests with an error. */
        ERRORS,
        /** Discovery agents send nothing. */
        SILENCE,
        /** A link delivers nothing, and reports no error. */
        CUT,
        /** The delay of a link is longer by {@code timeUs}. */
        DELAY,
        /** The delay of a link is longer by up to {@code timeUs}, drawn at random for each chunk or datagram. */
        JITTER,
        /** A link transfers at most {@code amount} bytes per second. */
        RATE,
        /** A link resets its open connections, and each new one as soon as it is opened. */
        RESET,
        /**
         * A link loses the fraction {@code amount} of chunks and datagrams. Lost chunks of a stream are retransmitted,
         * so they arrive late.
         */
        LOSS,
        /** A link does not forward the end of a connection, so the other side keeps the connection open. */
        HALF_OPEN,
        /** A link between nodes delivers the fraction {@code amount} of datagrams twice. */
        DUPLICATE,
        /**
         * A link between nodes delays the fraction {@code amount} of datagrams by {@code timeUs}, so that later
         * datagrams overtake them.
         */
        REORDER;

        /** Returns whether this is a fault of a link, not of a process. */
        public boolean isLinkFault() {
            return compareTo(CUT) >= 0;
        }

        /** Returns whether this kind of fault affects only datagrams. */
        public boolean affectsOnlyDatagrams() {
            return compareTo(DUPLICATE) >= 0;
        }
    }

    /** The directions of a link that a fault affects: from its first target to the second, back, or both. */
    public enum FaultDirection {
        BOTH,
        THERE,
        BACK;

        /** Returns the same direction as seen from the other end of the link. */
        public FaultDirection reversed() {
            return switch (this) {
                case THERE -> BACK;
                case BACK -> THERE;
                case BOTH -> BOTH;
            };
        }
    }

    /**
     * A fault of a process or of a link.
     *
     * @param startUs the start of the fault, since the load began
     * @param targets the name of the process, or of the two ends of the link; each is the name of one process, or of a
     *     group such as {@code node-*}
     * @param amount the kind's parameter: a fraction from 0 to 1, or bytes per second for {@link Kind#RATE}
     * @param timeUs the additional delay of the kinds that delay
     */
    public record Fault(
            Kind kind,
            long startUs,
            long durationUs,
            List<String> targets,
            FaultDirection direction,
            double amount,
            long timeUs) {

        /** Returns the same fault in another direction of its link. */
        public Fault withDirection(FaultDirection newDirection) {
            return new Fault(kind, startUs, durationUs, targets, newDirection, amount, timeUs);
        }

        /** Returns whether the fault affects the link between two nodes. */
        public boolean isBetweenNodes() {
            return targets.size() == 2
                    && targets.get(0).startsWith("node")
                    && targets.get(1).startsWith("node");
        }

        /** Returns kind, targets and times as a text for operators. */
        @Override
        public String toString() {
            return kind.name().toLowerCase(java.util.Locale.ROOT) + " " + String.join("><", targets) + " at "
                    + startUs / 1_000 + " ms for " + durationUs / 1_000 + " ms";
        }
    }

    /** Returns the zone of the node or server with this number. */
    public String zone(int number) {
        return nodes.zones.get(number % nodes.zones.size());
    }

    /** Returns the delay in one direction between a node and a server, in microseconds. */
    public long linkDelayUs(int node, int server) {
        return zone(node).equals(zone(server)) ? linkDelays.sameZoneUs : linkDelays.crossZoneUs;
    }

    /** Returns the longest deadline of all classes, in microseconds; 0 if there are no classes. */
    public long longestDeadlineUs() {
        return classes.stream().mapToLong(RequestClass::deadlineUs).max().orElse(0);
    }

    /** Returns the same scenario with other faults. */
    public Scenario withFaults(List<Fault> newFaults) {
        return new Scenario(
                name,
                lengthUs,
                settleUs,
                nodes,
                servers,
                clients,
                linkDelays,
                cluster,
                classes,
                List.copyOf(newFaults));
    }
}
