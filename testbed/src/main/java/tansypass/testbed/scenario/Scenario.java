package tansypass.testbed.scenario;

import java.util.List;
import tansypass.config.NodeFile.DeduplicationScope;
import tansypass.config.NodeFile.Idempotency;

/**
 * What is run: nodes, servers, links, load and faults. Times are microseconds.
 *
 * @param lengthUs for how long requests come
 * @param settleUs how long requests may take to end after it; one that is open then counts as never answered
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
    /** How many of the first nodes others join the cluster through. */
    public static final int SEED_MEMBERS = 3;

    /** The nodes; zones are taken in turn. */
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
     * The web servers, all alike; zones are taken in turn.
     *
     * @param maxQueued how many requests may wait
     * @param slowStartFactor the share of its speed with which one starts, which grows evenly to 1 over {@code slowStartUs}
     * @param handshakeWorkUs work that a new connection costs
     * @param maxConnections how many it accepts at most
     * @param idleTimeoutUs it closes a connection that has been idle for so long
     * @param sendsLoadReports whether answers carry a load report
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
     * The clients, in an open loop: requests come whether or not earlier ones have ended.
     *
     * @param requestsPerS requests a second
     * @param failureDetectionUs until the client load balancer detects that a node has died
     * @param maxOpenRequests requests open at once; past it a request is not sent
     */
    public record Clients(double requestsPerS, long failureDetectionUs, int maxOpenRequests) {}

    /** Delays of one way between two processes of one zone, and of two. */
    public record LinkDelays(long sameZoneUs, long crossZoneUs) {}

    /** The nodes' membership protocol; null in a scenario whose nodes are no members of a cluster. */
    public record Cluster(long periodUs, long probeTimeoutUs) {}

    /**
     * A class of requests.
     *
     * @param share of the requests, relative to the shares of other classes
     * @param meanWorkUs mean work on one core of a server; drawn exponentially
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

    /** What a fault does. The order and names of the constants are part of files and of random schedules. */
    public enum Kind {
        /** SIGKILL; the process starts again when the fault ends. */
        KILL,
        /** SIGTERM; the process starts again when the fault ends. */
        TERM,
        /** SIGSTOP, and SIGCONT when the fault ends. */
        PAUSE,
        /** A server is draining: the endpoint list says so, and it rejects new requests. */
        DRAIN,
        /** A server runs at {@code amount} of its speed. */
        CHOKE,
        /** A server sends no response. */
        HANG,
        /** A server answers this share of requests with an error. */
        ERRORS,
        /** Discovery sends nothing. */
        SILENCE,
        /** A link passes nothing on and says nothing. */
        CUT,
        /** A link takes longer, by {@code time}. */
        DELAY,
        /** A link takes longer, by up to {@code time}, drawn anew for each piece. */
        JITTER,
        /** A link passes so many bytes a second. */
        RATE,
        /** A link resets its connections, and new ones at once. */
        RESET,
        /** A link loses this share of pieces; a stream's are sent again, and come late. */
        LOSS,
        /** The end of a connection is not forwarded: the other side keeps it open. */
        HALF_OPEN,
        /** Of the links between nodes: this share of datagrams comes twice. */
        DUPLICATE,
        /**
         * Of the links between nodes: this share of datagrams takes longer, by {@code time}, and is
         * overtaken.
         */
        REORDER;

        /** Returns whether it is a fault of a link and not of a process. */
        public boolean isLinkFault() {
            return compareTo(CUT) >= 0;
        }

        /** Returns whether it affects datagrams only. */
        public boolean affectsOnlyDatagrams() {
            return compareTo(DUPLICATE) >= 0;
        }
    }

    /** The directions of a link that a fault is on: from the first one named to the second, back, or both. */
    public enum FaultDirection {
        BOTH,
        THERE,
        BACK;

        /** Returns the same directions as seen from the other end of the link. */
        public FaultDirection reversed() {
            return switch (this) {
                case THERE -> BACK;
                case BACK -> THERE;
                case BOTH -> BOTH;
            };
        }
    }

    /**
     * One fault.
     *
     * @param targets the process, or the two ends of the link, each a name, or a group such as {@code node-*}
     */
    public record Fault(
            Kind kind,
            long startUs,
            long durationUs,
            List<String> targets,
            FaultDirection direction,
            double amount,
            long timeUs) {

        /** Returns the same fault on other directions of its link. */
        public Fault withDirection(FaultDirection newDirection) {
            return new Fault(kind, startUs, durationUs, targets, newDirection, amount, timeUs);
        }

        /** Returns whether it is on the link between two nodes. */
        public boolean isBetweenNodes() {
            return targets.size() == 2
                    && targets.get(0).startsWith("node")
                    && targets.get(1).startsWith("node");
        }

        /** Returns kind, target and times for people. */
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

    /** Returns the delay one way between a node and a server, in microseconds. */
    public long linkDelayUs(int node, int server) {
        return zone(node).equals(zone(server)) ? linkDelays.sameZoneUs : linkDelays.crossZoneUs;
    }

    /** Returns the longest deadline of all classes, in microseconds; 0 if there is no class. */
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
