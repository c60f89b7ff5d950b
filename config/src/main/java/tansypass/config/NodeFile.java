package tansypass.config;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;

/**
 * The configuration of one node, read from its TOML file. All values except the addresses and the classes have
 * defaults.
 *
 * @param admin the address of the admin server, or null for none
 * @param maxDescriptors the number of file descriptors that the process may use
 * @param seed the seed of the random numbers, hexadecimal; if empty, each start draws a random seed
 * @param discovery the address of the discovery agent, or null if the node uses {@code servers} instead
 * @param servers the web servers that the file lists
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

    /** The pattern that names must match. Names are used in paths, metrics and headers. */
    public static final String NAME_PATTERN = "[A-Za-z0-9][A-Za-z0-9_.-]{0,63}";
    /** The description of {@link #NAME_PATTERN} in error messages. */
    public static final String ALLOWED_NAMES =
            "1 to 64 letters, digits, '-', '_' or '.', starting with a letter or digit";
    /** The longest duration of any setting: one day, in microseconds. */
    public static final long MAX_DURATION_US = 86_400_000_000L;

    /** The effect of executing a request more than once. The lower-case names are the values in the file. */
    public enum Idempotency {
        /** Executing the request again has no further effect. */
        SAFE,
        /** Servers deduplicate the request by its idempotency key. */
        KEYED,
        /** The request must not be executed twice. */
        UNSAFE
    }

    /**
     * The servers among which requests with the same idempotency key are deduplicated. The lower-case names are the
     * values in the file.
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

    /** The lowest level of log lines that are written. */
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
     * @param cell the number of the server's cell, the group of servers of {@link DeduplicationScope#CELL}
     * @param weight the server's capacity relative to the capacity of other servers
     */
    public record ServerConfig(String uid, InetSocketAddress endpoint, String zone, int cell, double weight) {}

    /**
     * A class of requests. Durations are in microseconds.
     *
     * @param latencyObjectiveUs the latency up to which a response has its full value
     * @param deadlineUs the latency after which the client stops waiting
     * @param priorityWeight the value of a response within the latency objective
     * @param residualWeight the fraction of the priority weight, 0 to 1, that a response after the latency objective
     *     is worth
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

    /** A tenant and its quota, in requests per second over all nodes; 0 means unlimited. */
    public record TenantConfig(String name, double quotaPerS) {}

    /**
     * The settings that all nodes of a deployment share. Durations are in microseconds.
     *
     * @param nodeCount the number of nodes that serve the deployment
     * @param maxAttempts the maximum number of attempts per request
     * @param hedging whether a request may have two attempts in flight
     * @param cancellation whether attempts may be cancelled
     * @param probes whether servers may be probed before a request is sent
     * @param maxRetryAfterUs the longest Retry-After of a rejection; 0 if rejections have none
     * @param idleTimeoutUs the time after which servers close an idle connection
     * @param drainGraceUs the time after the start of a server's draining in which requests may still be sent to it
     * @param slowStartFactor the fraction of its capacity, 0 to 1, that a server has when it starts to warm up
     * @param slowStartUs the maximum duration of a server's warm-up
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

    /** The settings of the log; {@code maxQueuedLines} is the maximum number of buffered lines. */
    public record LogSettings(LogFormat format, LogLevel level, int maxQueuedLines) {}

    /**
     * The membership in a cluster. Durations are in microseconds.
     *
     * @param listen the address at which the node receives datagrams and push-pull syncs
     * @param advertise the address at which other members reach this node; differs from {@code listen} only behind
     *     network address translation
     * @param deployment the name of the cluster; messages of other deployments are dropped
     * @param seeds the addresses of the members through which the node joins the cluster
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
     * @param environment the environment, whose variables {@code TANSYPASS_SECTION_KEY} override values of the file
     * @throws InvalidConfigException with all errors
     */
    public static NodeFile read(String path, Map<String, String> environment) throws InvalidConfigException {
        return TomlFile.read(path, environment, NodeFileReader::read);
    }
}
