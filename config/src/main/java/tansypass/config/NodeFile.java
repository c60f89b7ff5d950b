package tansypass.config;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;

/**
 * The configuration of one node, as read from its TOML file. Everything but the addresses and the classes has a
 * default.
 *
 * @param admin the address of the admin server, or null for none
 * @param maxDescriptors the limit on file descriptors
 * @param seed of the random numbers, hexadecimal; empty for a new one at each start
 * @param discovery the address of the discovery agent, or null to use the servers of this file
 * @param cluster the membership in a cluster, or null for none
 */
public record NodeFile(
        String name,
        InetSocketAddress listen,
        InetSocketAddress admin,
        String zone,
        int maxDescriptors,
        String seed,
        InetSocketAddress discovery,
        List<ServerConfig> servers,
        ServiceConfig service,
        LogSettings log,
        ClusterConfig cluster) {

    /** Pattern of names, which are used in paths, metrics and headers. */
    public static final String NAME_PATTERN = "[A-Za-z0-9][A-Za-z0-9_.-]{0,63}";
    /** Description of {@link #NAME_PATTERN} for error messages. */
    public static final String ALLOWED_NAMES = "1 to 64 letters, digits, '-', '_' or '.', no sign first";
    /** The longest duration of any setting: one day, in microseconds. */
    public static final long MAX_DURATION_US = 86_400_000_000L;

    /** Whether a request may be executed more than once. The lower-case names are values in the file. */
    public enum Idempotency {
        /** Executing it again has no further effect. */
        SAFE,
        /** Servers deduplicate it by its idempotency key. */
        KEYED,
        /** It must not be executed twice. */
        UNSAFE
    }

    /**
     * The servers that deduplicate requests with the same idempotency key. The lower-case names are values in the file.
     */
    public enum DeduplicationScope {
        /** All servers. */
        ALL,
        /** The servers of one zone. */
        ZONE,
        /** The servers of one cell. */
        CELL
    }

    /** The format of log lines. */
    public enum LogFormat {
        TEXT,
        JSON
    }

    /** The lowest level that is logged. */
    public enum LogLevel {
        TRACE,
        DEBUG,
        INFO,
        WARN,
        ERROR
    }

    /**
     * A web server listed in the file.
     *
     * @param cell the group of servers that it belongs to within the deduplication scope
     * @param weight its capacity compared with other servers
     */
    public record ServerConfig(String uid, InetSocketAddress endpoint, String zone, int cell, double weight) {}

    /**
     * A class of requests; durations in microseconds.
     *
     * @param latencyObjectiveUs the latency up to which a response has its full value
     * @param deadlineUs the latency after which the client does not wait any longer
     * @param priorityWeight the value of a response within the latency objective
     * @param residualWeight the part of that value, 0 to 1, which a later response keeps
     * @param deduplicationWindowUs how long servers remember idempotency keys
     */
    public record RequestClassConfig(
            String name,
            Idempotency idempotency,
            DeduplicationScope deduplicationScope,
            long latencyObjectiveUs,
            long deadlineUs,
            double priorityWeight,
            double residualWeight,
            long deduplicationWindowUs) {}

    /** A tenant, and its quota of requests per second of all nodes together; 0 means unlimited. */
    public record TenantConfig(String name, double quotaPerS) {}

    /**
     * Settings that are the same for all nodes of a deployment; durations in microseconds.
     *
     * @param nodeCount the number of nodes that serve the deployment
     * @param maxAttempts attempts per request at most
     * @param hedging whether a request may have two attempts in flight
     * @param cancellation whether attempts may be cancelled
     * @param probes whether servers may be probed before a request is sent
     * @param maxRetryAfterUs the longest Retry-After of a rejection; 0 for none
     * @param idleTimeoutUs how long servers keep an idle connection open
     * @param drainGraceUs how long after a server starts to drain requests may still be sent to it
     * @param slowStartFactor the part of its capacity, 0 to 1, with which a server that is warming up starts
     * @param slowStartUs how long a server is warming up at most
     */
    public record ServiceConfig(
            int nodeCount,
            List<String> zones,
            int maxAttempts,
            boolean hedging,
            boolean cancellation,
            boolean probes,
            long maxRetryAfterUs,
            long connectTimeoutUs,
            long idleTimeoutUs,
            long drainGraceUs,
            double slowStartFactor,
            long slowStartUs,
            List<RequestClassConfig> classes,
            List<TenantConfig> tenants) {}

    /** Settings of the log; {@code maxQueuedLines} is the number of lines buffered at most. */
    public record LogSettings(LogFormat format, LogLevel level, int maxQueuedLines) {}

    /**
     * Membership in a cluster; durations in microseconds.
     *
     * @param listen the address for datagrams and push-pull syncs
     * @param advertise the address at which others reach this node; differs behind an address translation
     * @param seeds members to join through
     */
    public record ClusterConfig(
            InetSocketAddress listen,
            InetSocketAddress advertise,
            String deployment,
            List<InetSocketAddress> seeds,
            long probeIntervalUs,
            long probeTimeoutUs) {}

    /**
     * Reads and validates a file.
     *
     * @param environment variables {@code TANSYPASS_SECTION_KEY} override values of the file
     * @throws InvalidConfigException with all errors
     */
    public static NodeFile read(String path, Map<String, String> environment) throws InvalidConfigException {
        return TomlFile.read(path, environment, NodeFileReader::read);
    }
}
